namespace egretladder::lab {}
