package proxy

// maxUpstreamConns bounds the connections to upstreams, and with them the attempts in flight. With an inherited listener,
// two processes may overlap and each gets a fixed share. Clients hold a third of the descriptors of both processes together,
// one for each request: if the process that shuts down had more than half of these requests in flight, none would be left
// for the clients of its successor.
func (c *Config) maxUpstreamConns() int {
	if c.inheritsListener() {
		return c.MaxSockets / 6
	}
	return c.MaxSockets * 3 / 8
}

// maxClientConns bounds the connections that the client listener accepts, including those that are not from clients: half of the
// descriptors, or less where memory is short, but more than the third that clients may use.
func (c *Config) maxClientConns() int {
	if c.inheritsListener() {
		return c.MaxSockets * 2 / 5
	}
	byMemory := int(c.SoftMemoryLimit() / 2 / clientConnMemory)
	return max(c.MaxSockets*3/8, min(c.MaxSockets/2, byMemory))
}

const (
	// programMemory is the memory, in bytes, that the code of the program and its constant data need.
	programMemory = 11 << 20
	// smallHeap is the size of the heap, in bytes, up to which it may use all memory that the program leaves.
	smallHeap = 24 << 20
	// clientConnMemory is the memory, in bytes, that a client connection needs while it has a request: goroutines, buffers, and
	// the connection to an upstream.
	clientConnMemory = 26 << 10
)

// SoftMemoryLimit returns the target size of the heap in bytes: 60 % of the memory limit, or what the program leaves of it where that
// is little, and half of that if another process may run at the same time. With a smaller target the garbage collector would
// run all the time while many connections are open.
func (c *Config) SoftMemoryLimit() int64 {
	limit := int64(c.MemoryMiB) << 20
	total := max(limit*6/10, min(limit-programMemory, smallHeap))
	if c.inheritsListener() {
		return total / 2
	}
	return total
}

// bodyBudgetBytes bounds the total size, in bytes, of all body buffers.
func (c *Config) bodyBudgetBytes() int64 { return c.SoftMemoryLimit() / 5 }
