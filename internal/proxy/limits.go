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

// maxClientConns bounds the connections that the client listener accepts, including those that are not from clients.
func (c *Config) maxClientConns() int {
	if c.inheritsListener() {
		return c.MaxSockets * 2 / 5
	}
	return c.MaxSockets / 2
}

// SoftMemoryLimit returns the target size of the heap in bytes: 60 % of the memory limit, or half of that if another process may
// run at the same time.
func (c *Config) SoftMemoryLimit() int64 {
	total := int64(c.MemoryMiB) << 20 * 6 / 10
	if c.inheritsListener() {
		return total / 2
	}
	return total
}

// bodyBudgetBytes bounds the total size, in bytes, of all body buffers.
func (c *Config) bodyBudgetBytes() int64 { return c.SoftMemoryLimit() / 5 }
