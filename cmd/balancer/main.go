// Command balancer is a load balancer for a fleet of HTTP servers. It is told what
// to do by the RELAY_ environment variables, reads the address of discovery anew on
// SIGHUP, and ends in good order on SIGTERM.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"sprucehill/internal/durable"
	"sprucehill/internal/fleet"
	"sprucehill/internal/management"
	"sprucehill/internal/proxy"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "balancer:", err)
		os.Exit(1)
	}
}

func run() error {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP) // first of all: it must not end the program at any time
	c, err := proxy.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	file, err := fleet.Load(os.Getenv)
	if err != nil {
		return err
	}
	if h := file.Log.Handler(); h != nil {
		slog.SetDefault(slog.New(h))
	}
	c.SetLocalities(file.Localities())
	if file.State.Folder != "" {
		keeper, err := durable.StartWriter(durable.Options{Path: file.State.Folder, Owner: c.Name + "@" + file.State.Site,
			MinInterval: file.State.SaveInterval(), OrderKinds: proxy.OrderKinds, Log: slog.Info}, kinds())
		if err != nil {
			return fmt.Errorf("%s: %w", os.Getenv(fleet.EnvironmentVariable), err)
		}
		defer keeper.Close()
		c.Keeper = keeper
	}
	// The machine has one core. Collecting later costs memory, which the soft limit bounds, and saves time.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(c.SoftMemory())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	slog.Info("starting", "name", c.Name, "listen", c.Listen, "known", len(c.Known.Members))
	listener, err := c.OpenListener()
	if err != nil {
		return err
	}
	server := proxy.New(c, listener)
	member, err := joinFleet(&c, file, server)
	if err != nil {
		return fmt.Errorf("%s: %w", os.Getenv(fleet.EnvironmentVariable), err)
	}
	defer member.close()
	if c.Management != "" {
		operators, err := net.Listen("tcp", c.Management)
		if err != nil {
			return fmt.Errorf("listening for operators: %w", err)
		}
		defer manage(operators, managementTarget{server, member})()
	}
	moves := make(chan string)
	go reload(ctx, reloads, moves)
	if err := server.Run(ctx, moves); err != nil {
		return err
	}
	slog.Info("stopped", "name", c.Name)
	return nil
}

// kinds is what is read of the state folder: the balancer's and the membership's.
func kinds() map[string]uint16 {
	all := maps.Clone(proxy.StateKinds)
	all[kindMembers] = versionMembers
	return all
}

// manage answers operators' calls until the function that it returns is called, which waits for their end. They are
// answered while clients are sent away, too.
func manage(operators net.Listener, balancer management.Balancer) (end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := management.Serve(ctx, operators, balancer); err != nil {
			slog.Error("operators are not answered any more", "err", err)
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// reload passes on the address of discovery at each signal until ctx ends. A file that can't be read changes nothing.
func reload(ctx context.Context, signals <-chan os.Signal, moves chan<- string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		address, err := proxy.LoadDiscovery(os.Getenv)
		if err != nil {
			slog.Error("not reloaded", "err", err)
			continue
		}
		select {
		case moves <- address:
		case <-ctx.Done():
		}
	}
}
