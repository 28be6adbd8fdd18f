// Package proxy is the real balancer round the decision module: clients, upstreams
// and discovery on TCP sockets. It decides nothing; what is sent where, again or
// not at all is the module's to say.
package proxy

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/wire"
)

// Config is what a balancer is told at its start.
type Config struct {
	Name      string
	Listen    string // host:port for clients
	Discovery string // host:port of discovery
	// Management is the host:port for the operators' calls. Empty: there is none.
	Management string
	ListenFD   int // the clients' listener, if the platform hands one down; else 0
	Seed       uint64
	MemoryMB   int
	Sockets    int
	Known      listing // the upstreams as last held, maybe stale
	Settings   balancer.Settings
	Links      wire.Links
	// Keeper keeps what has to outlive the process; nil: nothing does.
	Keeper Keeper
	// Localities gives zones that discovery and settings name without a region the form region/zone. It may be nil.
	Localities map[string]string
	open       opener // of connections to upstreams; nil: net.DialTimeout
}

// Locate takes a map from zones to region/zone for all that is named from then on. It belongs before New.
func (c *Config) Locate(localities map[string]string) {
	c.Localities = localities
	c.Settings.Zone = located(localities, c.Settings.Zone)
}

// located is a zone with its region, where one is known.
func located(localities map[string]string, zone string) string {
	if full, ok := localities[zone]; ok {
		return full
	}
	return zone
}

// file is the configuration file's form.
type file struct {
	Name       string `json:"name"`
	Listen     string `json:"listen"`
	Discovery  string `json:"discovery"`
	Management string `json:"management"`
	Seed       string `json:"seed"`
	Limits     struct {
		MemoryMB int `json:"memory_mb"`
		Sockets  int `json:"sockets"`
	} `json:"limits"`
	Known    listing         `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// LoadConfig reads the file that RELAY_CONFIG names. The other RELAY_ variables go before what it says.
func LoadConfig(getenv func(string) string) (Config, error) {
	f, path, err := read(getenv)
	if err != nil {
		return Config{}, err
	}
	for name, to := range map[string]*string{"RELAY_NAME": &f.Name, "RELAY_LISTEN": &f.Listen, "RELAY_DISCOVERY": &f.Discovery,
		"RELAY_MANAGEMENT": &f.Management} {
		if v := getenv(name); v != "" {
			*to = v
		}
	}
	c, err := f.config()
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	c.ListenFD, err = listenFD(getenv("RELAY_FD"))
	return c, err
}

// LoadDiscovery reads the address of discovery anew from the file that RELAY_CONFIG names. What RELAY_DISCOVERY said at
// the start no longer counts.
func LoadDiscovery(getenv func(string) string) (string, error) {
	f, path, err := read(getenv)
	if err != nil {
		return "", err
	}
	if _, err := netip.ParseAddrPort(f.Discovery); err != nil {
		return "", fmt.Errorf("%s: discovery: %w", path, err)
	}
	return f.Discovery, nil
}

// read reads the file that RELAY_CONFIG names.
func read(getenv func(string) string) (f file, path string, err error) {
	if path = getenv("RELAY_CONFIG"); path == "" {
		return f, path, errors.New("RELAY_CONFIG is not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return f, path, fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	if err := json.Unmarshal(text, &f); err != nil {
		return f, path, fmt.Errorf("%s: %w", path, err)
	}
	return f, path, nil
}

// config checks what was read.
func (f *file) config() (Config, error) {
	c := Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Management: f.Management, Known: f.Known,
		MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets}
	var err error
	if _, err = netip.ParseAddrPort(c.Listen); err != nil {
		return c, fmt.Errorf("listen: %w", err)
	}
	if _, err = netip.ParseAddrPort(c.Discovery); err != nil {
		return c, fmt.Errorf("discovery: %w", err)
	}
	if c.Management != "" {
		if _, err = netip.ParseAddrPort(c.Management); err != nil {
			return c, fmt.Errorf("management: %w", err)
		}
	}
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return c, fmt.Errorf("seed: %w", err)
	}
	if c.MemoryMB < 16 {
		return c, fmt.Errorf("limits: memory_mb is %d; at least 16 is needed", c.MemoryMB)
	}
	if c.Sockets < 64 {
		return c, fmt.Errorf("limits: sockets is %d; at least 64 are needed", c.Sockets)
	}
	if len(f.Settings) == 0 {
		return c, errors.New("settings are missing")
	}
	if c.Settings, c.Links, err = wire.DecodeSettings(f.Settings); err != nil {
		return c, err
	}
	if err := c.Settings.Validate(); err != nil { // here, where the file is known
		return c, fmt.Errorf("settings: %w", err)
	}
	if c.Links.KeepAlive <= 0 || c.Links.ConnectTimeout <= 0 {
		return c, errors.New("settings: limits: keepalive_us and connect_timeout_us must be over zero")
	}
	for _, m := range c.Known.Members {
		if err := m.check(); err != nil {
			return c, fmt.Errorf("known: %w", err)
		}
	}
	return c, nil
}

// longest is the longest time that a client waits.
func (c *Config) longest() time.Duration {
	var d time.Duration
	for _, class := range c.Settings.Classes {
		d = max(d, class.Deadline)
	}
	return d
}
