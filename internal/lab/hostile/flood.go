package hostile

import (
	"context"
	"io"
	"sync"
)

// floodBatch is the number of copies of a text that one write of a flood has.
const floodBatch = 32

// Flood has a number of clients send a text again and again at full speed, each on one connection, until the context ends. The
// answers are read and discarded. A client whose connection is closed opens another one. nextText returns the text of the
// next requests of a client; it is called from several goroutines.
func Flood(ctx context.Context, address string, clients int, nextText func() []byte) {
	var running sync.WaitGroup
	for range clients {
		running.Go(func() {
			for ctx.Err() == nil {
				floodConnection(ctx, address, nextText)
			}
		})
	}
	running.Wait()
}

// Reconnect has a number of clients connect, send a text and disconnect without reading, again and again at full speed, until the
// context ends. nextText returns the text of a connection; it is called from several goroutines.
func Reconnect(ctx context.Context, address string, clients int, nextText func() []byte) {
	var running sync.WaitGroup
	for range clients {
		running.Go(func() {
			for ctx.Err() == nil {
				if c, err := send(ctx, address, nextText(), misuseLimit); err == nil {
					c.Close()
				}
			}
		})
	}
	running.Wait()
}

// floodConnection floods one connection until it is closed or the context ends.
func floodConnection(ctx context.Context, address string, nextText func() []byte) {
	c, err := Dial(ctx, address)
	if err != nil {
		return
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = io.Copy(io.Discard, c) // ends when the connection does
		c.Close()
	}()
	for {
		var batch []byte
		for range floodBatch {
			batch = append(batch, nextText()...)
		}
		if _, err := c.Write(batch); err != nil {
			break
		}
	}
	c.Close()
	<-read
}
