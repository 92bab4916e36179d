package app

import (
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"brackendale/internal/statefs"
)

const (
	restartSocketName = "upgrade.sock"
	// maxSocketPathBytes is below the 108 bytes that Linux allows for the path of a Unix socket.
	maxSocketPathBytes = 100
)

// restartSocketPath returns the path of the socket at which a predecessor listens. It is in the state folder, which
// both processes share. A path that is too long for the address of a socket is replaced by one through the folder's
// descriptor, which release closes.
func restartSocketPath(stateDir string) (path string, release func(), err error) {
	path = filepath.Join(stateDir, restartSocketName)
	if len(path) < maxSocketPathBytes {
		return path, func() {}, nil
	}
	dir, err := os.Open(stateDir)
	if err != nil {
		return "", nil, fmt.Errorf("open the state folder: %w", err)
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), restartSocketName), func() { _ = dir.Close() }, nil
}

// listenRestartSocket listens at path. It replaces the socket that an earlier process left there.
func listenRestartSocket(path string) (*net.UnixListener, error) {
	if err := statefs.Remove(path); err != nil {
		return nil, err
	}
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		return nil, err
	}
	listener.SetUnlinkOnClose(false) // when it is closed, the successor's socket is at this path
	if err := os.Chmod(path, 0o600); err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	return listener, nil
}
