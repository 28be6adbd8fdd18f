package socket

import "syscall"

// SetBacklog sets how many connections may wait to be accepted by a listener. Those that wait already stay. It is safe for concurrent
// use.
func SetBacklog(l syscall.Conn, connections int) error {
	var failed error
	if err := control(l, func(fd int) { failed = syscall.Listen(fd, connections) }); err != nil {
		return err
	}
	return failed
}
