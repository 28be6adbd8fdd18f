package proxy

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"
	"time"

	"sprucehill/balancer"
	"sprucehill/internal/discovery"
	"sprucehill/internal/savedstate"
	"sprucehill/internal/wire"
)

const (
	// minMemoryMB is the lowest memory limit, in MiB, that a configuration may set.
	minMemoryMB = 16
	// minSockets is the lowest limit on open sockets that a configuration may set.
	minSockets = 64
)

// Config is the configuration of a balancer at its start.
type Config struct {
	// Name is the balancer's name in the fleet.
	Name string
	// Listen is the host:port on which clients are accepted.
	Listen string
	// Discovery is the host:port of the discovery service.
	Discovery string
	// Management is the host:port for operators' calls. If it is empty, there is no management listener.
	Management string
	// ListenFD is the file descriptor of the client listener if it is inherited from the platform, otherwise 0.
	ListenFD int
	// Seed seeds the random number generator that makes all random choices.
	Seed uint64
	// MemoryMiB is the memory limit of the process, in MiB.
	MemoryMiB int
	// MaxSockets is the limit on open sockets of the process.
	MaxSockets int
	// KnownEndpoints is the last known endpoint list. It may be stale.
	KnownEndpoints discovery.List
	// Settings are the settings of the decision module.
	Settings balancer.Settings
	// ConnectionTimeouts has the timeouts of connections to upstreams.
	ConnectionTimeouts wire.ConnectionTimeouts
	// StateWriter saves the state that has to outlive the process. If it is nil, nothing is saved.
	StateWriter savedstate.Writer
	// UnusedKeys has the top-level keys of the configuration file that this program does not use, sorted. They are not an
	// error, but reporting them reveals a misspelt key.
	UnusedKeys []string
	// Localities maps the zones that discovery and the settings name without a region to region/zone. It may be nil.
	Localities map[string]string

	openConn dialFunc // opens connections to upstreams; net.DialTimeout if nil
}

// SetLocalities sets Localities and qualifies the balancer's own zone with its region. It must be called before New.
func (c *Config) SetLocalities(localities map[string]string) {
	c.Localities = localities
	c.Settings.Zone = qualifyZone(localities, c.Settings.Zone)
}

// qualifyZone returns zone as region/zone if its region is known, and unchanged otherwise.
func qualifyZone(localities map[string]string, zone string) string {
	if qualified, ok := localities[zone]; ok {
		return qualified
	}
	return zone
}

// longestDeadline returns the longest deadline of all classes.
func (c *Config) longestDeadline() time.Duration {
	var longest time.Duration
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// configFile is the JSON configuration file.
type configFile struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Discovery  string          `json:"discovery"`
	Management string          `json:"management"`
	Seed       string          `json:"seed"` // hexadecimal
	Limits     processLimits   `json:"limits"`
	Known      discovery.List  `json:"known"`
	Settings   json.RawMessage `json:"settings"`

	text []byte // the content of the file
}

// processLimits are the resource limits of the process.
type processLimits struct {
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// LoadConfig reads the configuration file at the path in the environment variable RELAY_CONFIG. The variables RELAY_NAME,
// RELAY_LISTEN, RELAY_DISCOVERY and RELAY_MANAGEMENT override its values; RELAY_FD sets ListenFD.
func LoadConfig(getenv func(string) string) (Config, error) {
	path, err := configPath(getenv)
	if err != nil {
		return Config{}, err
	}
	f, err := readConfigFile(path)
	if err != nil {
		return Config{}, err
	}
	f.applyEnvironment(getenv)
	c, err := f.toConfig()
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	c.ListenFD, err = parseListenerFD(getenv("RELAY_FD"))
	return c, err
}

// LoadDiscovery rereads the address of the discovery service from the file that RELAY_CONFIG names. It ignores
// RELAY_DISCOVERY, which applies only at the start of the process.
func LoadDiscovery(getenv func(string) string) (string, error) {
	path, err := configPath(getenv)
	if err != nil {
		return "", err
	}
	f, err := readConfigFile(path)
	if err != nil {
		return "", err
	}
	if _, err := netip.ParseAddrPort(f.Discovery); err != nil {
		return "", fmt.Errorf("%s: discovery: %w", path, err)
	}
	return f.Discovery, nil
}

// configPath returns the path in RELAY_CONFIG.
func configPath(getenv func(string) string) (string, error) {
	path := getenv("RELAY_CONFIG")
	if path == "" {
		return "", errors.New("RELAY_CONFIG is not set")
	}
	return path, nil
}

func readConfigFile(path string) (*configFile, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	var f configFile
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	f.text = text
	return &f, nil
}

// maxUnusedKeys bounds the number of unused keys that are reported.
const maxUnusedKeys = 16

// unusedKeys returns the top-level keys of a configuration file that configFile does not have, sorted, at most
// maxUnusedKeys of them.
func unusedKeys(text []byte) []string {
	var all map[string]json.RawMessage
	if json.Unmarshal(text, &all) != nil {
		return nil
	}
	for _, field := range reflect.VisibleFields(reflect.TypeFor[configFile]()) {
		if key, ok := field.Tag.Lookup("json"); ok {
			delete(all, key)
		}
	}
	unused := slices.Sorted(maps.Keys(all))
	return unused[:min(len(unused), maxUnusedKeys)]
}

// applyEnvironment replaces the values for which an environment variable is set.
func (f *configFile) applyEnvironment(getenv func(string) string) {
	for name, field := range map[string]*string{
		"RELAY_NAME":       &f.Name,
		"RELAY_LISTEN":     &f.Listen,
		"RELAY_DISCOVERY":  &f.Discovery,
		"RELAY_MANAGEMENT": &f.Management,
	} {
		if value := getenv(name); value != "" {
			*field = value
		}
	}
}

// toConfig validates the file and converts it to a Config.
func (f *configFile) toConfig() (Config, error) {
	c := Config{
		Name:           f.Name,
		Listen:         f.Listen,
		Discovery:      f.Discovery,
		Management:     f.Management,
		KnownEndpoints: f.Known,
		MemoryMiB:      f.Limits.MemoryMB,
		MaxSockets:     f.Limits.Sockets,
		UnusedKeys:     unusedKeys(f.text),
	}
	if err := c.checkAddresses(); err != nil {
		return c, err
	}
	var err error
	c.Seed, err = strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return c, fmt.Errorf("seed: %w", err)
	}
	if c.MemoryMiB < minMemoryMB {
		return c, fmt.Errorf("limits: memory_mb is %d; at least %d is needed", c.MemoryMiB, minMemoryMB)
	}
	if c.MaxSockets < minSockets {
		return c, fmt.Errorf("limits: sockets is %d; at least %d are needed", c.MaxSockets, minSockets)
	}
	if err := c.decodeSettings(f.Settings); err != nil {
		return c, err
	}
	for _, m := range c.KnownEndpoints.Members {
		if err := m.Validate(); err != nil {
			return c, fmt.Errorf("known: %w", err)
		}
	}
	return c, nil
}

func (c *Config) checkAddresses() error {
	if _, err := netip.ParseAddrPort(c.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if _, err := netip.ParseAddrPort(c.Discovery); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	if c.Management == "" {
		return nil
	}
	if _, err := netip.ParseAddrPort(c.Management); err != nil {
		return fmt.Errorf("management: %w", err)
	}
	return nil
}

// decodeSettings decodes and validates the settings. This happens while the file is loaded so that an error names the file.
func (c *Config) decodeSettings(text json.RawMessage) error {
	if len(text) == 0 {
		return errors.New("settings are missing")
	}
	var err error
	c.Settings, c.ConnectionTimeouts, err = wire.DecodeSettings(text)
	if err != nil {
		return err
	}
	if err := c.Settings.Validate(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if c.ConnectionTimeouts.KeepAlive <= 0 || c.ConnectionTimeouts.ConnectTimeout <= 0 {
		return errors.New("settings: limits: keepalive_us and connect_timeout_us must be greater than zero")
	}
	return nil
}
