package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"sync"
	"time"
)

// fleetQuery has the arguments and flags of a command that queries several balancers.
type fleetQuery struct {
	Addresses []string      `arg:"" help:"Management addresses of balancers, host:port."`
	Watch     time.Duration `help:"Repeat the query at this interval, until interrupted."`
	JSON      bool          `name:"json" help:"Write the results as JSON."`
}

// fleetReport has the functions of a command that queries several balancers: query is called for each balancer, show prints
// the results, and check returns an error if they are not as they should be.
type fleetReport[T any] struct {
	query func(ctx context.Context, address string) T
	show  func(w io.Writer, results []T)
	check func(results []T) error
}

// run queries the balancers, writes the results and returns the error of check. With the flag --watch it repeats the query
// until ctx is done, does not call check, and returns an error only if the results can't be written.
func (r fleetReport[T]) run(ctx context.Context, options fleetQuery) error {
	for {
		results := queryAll(ctx, options.Addresses, r.query)
		if err := r.write(results, options); err != nil {
			return err
		}
		if options.Watch <= 0 {
			return r.check(results)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(options.Watch):
			fmt.Println()
		}
	}
}

// write writes results to standard output, as tables or as JSON.
func (r fleetReport[T]) write(results []T, options fleetQuery) error {
	if options.JSON {
		return writeJSON(results)
	}
	r.show(os.Stdout, results)
	return nil
}

// queryAll queries all balancers concurrently, so that one that does not respond does not delay the others. The results are
// in the order of the addresses.
func queryAll[T any](ctx context.Context, addresses []string, query func(ctx context.Context, address string) T) []T {
	results := make([]T, len(addresses))
	var queries sync.WaitGroup
	for i, address := range addresses {
		queries.Go(func() { results[i] = query(ctx, address) })
	}
	queries.Wait()
	return results
}
