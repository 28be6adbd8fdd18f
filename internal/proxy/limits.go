package proxy

// maxUpstreamConns bounds the connections to upstreams, and with them the attempts in flight. Where two processes may
// overlap, each has a fixed part. Clients hold a third of the descriptors at both processes together, one for each request:
// if the process that shuts down had more than half of those in flight, its successor's clients would find none.
func (c *Config) maxUpstreamConns() int {
	if c.inheritsListener() {
		return c.Sockets / 6
	}
	return c.Sockets * 3 / 8
}

// maxClientConns bounds the connections of clients, and of whoever else connects to their listener.
func (c *Config) maxClientConns() int {
	if c.inheritsListener() {
		return c.Sockets * 2 / 5
	}
	return c.Sockets / 2
}

// SoftMemory is the heap size, in bytes, that the process aims at: 60 % of its memory limit, and half of that where another
// process may run beside it.
func (c *Config) SoftMemory() int64 {
	total := int64(c.MemoryMB) << 20 * 6 / 10
	if c.inheritsListener() {
		return total / 2
	}
	return total
}

// bodyBudgetBytes bounds the bytes that are buffered of all bodies at once.
func (c *Config) bodyBudgetBytes() int64 { return c.SoftMemory() / 5 }
