// Command balancer is a load balancer for a fleet of HTTP servers. It is configured through the RELAY_ environment variables,
// reloads the discovery address on SIGHUP, and shuts down gracefully on SIGTERM.
//
// Its exit code is 0 after SIGTERM. If it can't start or serve, it writes one line to standard error and exits with 1.
package main

import (
	"context"
	"fmt"
	"io"
	"log"
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
	"sprucehill/internal/savedstate"
)

const (
	// maxCores is the value for GOMAXPROCS. The platform allots one core to the process.
	maxCores = 1
	// gcPercent is the heap growth, in percent, that starts a garbage collection. A value above Go's default of 100 saves
	// CPU time at the cost of memory, which the soft memory limit bounds.
	gcPercent = 400
)

func main() {
	queue := newLogQueue(os.Stderr)
	log.SetOutput(queue) // the default slog logger writes through package log, too
	err := run(queue)
	if err != nil {
		fmt.Fprintln(queue, "balancer:", err)
	}
	queue.Flush()
	if err != nil {
		os.Exit(1)
	}
}

// run starts the balancer and serves until SIGTERM or an interrupt. logWriter receives the log and must not block.
func run(logWriter io.Writer) error {
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP) // first of all, because an unhandled SIGHUP terminates the process
	config, file, err := loadConfiguration(logWriter)
	if err != nil {
		return err
	}
	closeState, err := openState(&config, file)
	if err != nil {
		return err
	}
	defer closeState()
	limitResources(config)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	slog.Info("starting", "name", config.Name, "listen", config.Listen, "endpoints", len(config.KnownEndpoints.Members),
		"management", config.Management, "inherited_listener", config.ListenFD != 0, "unused_keys", config.UnusedKeys)
	listener, err := config.OpenListener()
	if err != nil {
		return err
	}
	server := proxy.New(config, listener)
	member, err := joinFleet(&config, file, server)
	if err != nil {
		return fleetFileError(err)
	}
	defer member.close()
	stopManagement, err := startManagement(config.Management, managementTarget{server, member})
	if err != nil {
		return err
	}
	defer stopManagement()
	discoveryAddresses := make(chan string)
	go reloadDiscovery(ctx, reloadSignals, discoveryAddresses)
	if err := server.Run(ctx, discoveryAddresses); err != nil {
		return err
	}
	slog.Info("stopped", "name", config.Name)
	return nil
}

// loadConfiguration reads the configuration and the fleet file, and installs the logger that the fleet file configures.
func loadConfiguration(logWriter io.Writer) (proxy.Config, fleet.File, error) {
	config, err := proxy.LoadConfig(os.Getenv)
	if err != nil {
		return config, fleet.File{}, err
	}
	file, err := fleet.Load(os.Getenv)
	if err != nil {
		return config, file, err
	}
	slog.SetLogLoggerLevel(file.Log.MinLevel())
	if handler := file.Log.Handler(logWriter); handler != nil {
		slog.SetDefault(slog.New(handler))
	}
	config.SetLocalities(file.Localities())
	return config, file, nil
}

// openState opens the state folder, if the fleet file names one, and sets config.StateWriter. closeState saves pending records
// and releases the folder's lock.
func openState(config *proxy.Config, file fleet.File) (closeState func(), err error) {
	if file.State.Folder == "" {
		return func() {}, nil
	}
	options := durable.Options{
		Path:        file.State.Folder,
		Owner:       config.Name + "@" + file.State.Site,
		MinInterval: file.State.SaveInterval(),
		OrderKinds:  savedstate.OrderKinds,
		Log:         slog.Info,
	}
	writer, err := durable.StartWriter(options, recordVersions())
	if err != nil {
		return nil, fleetFileError(err)
	}
	config.StateWriter = writer
	return writer.Close, nil
}

// recordVersions maps each kind of record that this program reads from the state folder to its version. The kinds are those of
// the proxy and of the membership.
func recordVersions() map[string]uint16 {
	versions := maps.Clone(savedstate.Kinds)
	versions[kindMembers] = versionMembers
	return versions
}

// fleetFileError adds the path of the fleet file to an error that the file's content caused.
func fleetFileError(err error) error {
	return fmt.Errorf("%s: %w", os.Getenv(fleet.EnvironmentVariable), err)
}

// limitResources limits the CPU cores that the Go runtime uses, sets a soft limit on its memory, and sets the heap growth
// that starts a garbage collection.
func limitResources(config proxy.Config) {
	runtime.GOMAXPROCS(maxCores)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(config.SoftMemoryLimit())
}

// startManagement serves management calls at an address until stop is called, and stop returns once the server has ended. An
// empty address disables the server. Calls are still answered while the proxy shuts down.
func startManagement(address string, target management.Balancer) (stop func(), err error) {
	if address == "" {
		return func() {}, nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("opening the management listener: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := management.Serve(ctx, listener, target); err != nil {
			slog.Error("management server failed", "err", err)
		}
	}()
	return func() {
		cancel()
		<-done
	}, nil
}

// reloadDiscovery reloads the discovery address on each signal and sends it to addresses, until ctx is done. If the
// configuration can't be read, the current address stays in use.
func reloadDiscovery(ctx context.Context, signals <-chan os.Signal, addresses chan<- string) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		address, err := proxy.LoadDiscovery(os.Getenv)
		if err != nil {
			slog.Error("reload failed", "err", err)
			continue
		}
		select {
		case addresses <- address:
		case <-ctx.Done():
		}
	}
}
