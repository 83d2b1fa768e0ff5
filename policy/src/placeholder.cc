namespace egretladder::policy {}
