package reactor

import "brackendale/internal/net/sharedsocket"

// InheritSocket returns a listening socket that this process inherited as a file descriptor, or received from another
// process. It uses a duplicate: the descriptor stays open.
func InheritSocket(fd int) (*Socket, error) {
	listener, err := sharedsocket.Listener(fd)
	if err != nil {
		return nil, err
	}
	return &Socket{listener: listener, inherited: true}, nil
}

// Share returns a duplicate of the socket's descriptor, for another process; the caller closes it. From now on the
// socket counts as inherited.
func (l *Listener) Share() (fd int, err error) {
	if fd, err = sharedsocket.Descriptor(l.Listener); err != nil {
		return -1, err
	}
	l.mu.Lock()
	l.inherited = true
	l.mu.Unlock()
	return fd, nil
}
