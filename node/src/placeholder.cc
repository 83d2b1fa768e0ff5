namespace egretladder::node {}
