namespace egretladder::gateway {}
