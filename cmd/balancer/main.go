// Command balancer is a load balancer for a fleet of HTTP servers. It is configured by the RELAY_ environment variables,
// reads the address of discovery again on SIGHUP, and shuts down gracefully on SIGTERM.
//
// It ends with exit code 0 after SIGTERM, and with 1 and one line on standard error if it can't start or serve.
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
	// maxCores is how many cores the program uses: the platform gives it one.
	maxCores = 1
	// gcPercent is the heap growth, in percent, at which garbage is collected. Collecting later than Go's default of 100
	// saves time and costs memory, which the soft memory limit bounds.
	gcPercent = 400
)

func main() {
	queue := newLogQueue(os.Stderr)
	log.SetOutput(queue) // also of the default logger of package slog
	err := run(queue)
	if err != nil {
		fmt.Fprintln(queue, "balancer:", err)
	}
	queue.Flush()
	if err != nil {
		os.Exit(1)
	}
}

// run serves until SIGTERM or an interrupt. The log goes to a writer that must not wait.
func run(logWriter io.Writer) error {
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP) // before all else: without it the signal would end the program
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
	slog.Info("starting", "name", config.Name, "listen", config.Listen, "endpoints", len(config.Known.Members),
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

// loadConfiguration reads the configuration and the fleet file, and sets the logger that the latter configures.
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

// openState opens the state folder, if the fleet file names one, and sets the configuration's StateWriter. The function that
// it returns saves what is pending and releases the folder.
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
	writer, err := durable.StartWriter(options, stateVersions())
	if err != nil {
		return nil, fleetFileError(err)
	}
	config.StateWriter = writer
	return writer.Close, nil
}

// stateVersions returns the kinds of records that are read from the state folder, with the version of each: those of the
// proxy and of the membership.
func stateVersions() map[string]uint16 {
	versions := maps.Clone(savedstate.Kinds)
	versions[kindMembers] = versionMembers
	return versions
}

// fleetFileError names the fleet file in an error that its content caused.
func fleetFileError(err error) error {
	return fmt.Errorf("%s: %w", os.Getenv(fleet.EnvironmentVariable), err)
}

// limitResources sets the limits of the Go runtime for the process.
func limitResources(config proxy.Config) {
	runtime.GOMAXPROCS(maxCores)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(config.SoftMemory())
}

// startManagement serves operators' calls at an address, if it is not empty, until the function that it returns is
// called, which waits for the end. Calls are also answered while the proxy shuts down.
func startManagement(address string, target management.Balancer) (stop func(), err error) {
	if address == "" {
		return func() {}, nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listening for operators: %w", err)
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

// reloadDiscovery reads the address of discovery again at each signal and sends it, until ctx ends. If the configuration
// can't be read nothing changes.
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
