namespace egretladder::fleet {}
