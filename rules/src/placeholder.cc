namespace egretladder::rules {}
