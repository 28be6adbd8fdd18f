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
	// minMemoryMB is the least memory limit, in MiB, with which a balancer starts.
	minMemoryMB = 16
	// minSockets is the least limit on descriptors with which a balancer starts.
	minSockets = 64
)

// Config is the configuration with which a balancer starts.
type Config struct {
	// Name is the balancer's name in the fleet.
	Name string
	// Listen is the host:port for clients.
	Listen string
	// Discovery is the host:port of the discovery service.
	Discovery string
	// Management is the host:port for operators' calls. Empty: there is none.
	Management string
	// ListenFD is the descriptor of the clients' listener if the platform hands one down, or else 0.
	ListenFD int
	// Seed is for all random choices.
	Seed uint64
	// MemoryMB is the memory limit of the process, in MiB.
	MemoryMB int
	// Sockets is the limit on open sockets of the process.
	Sockets int
	// Known is the endpoint list as last known, maybe stale.
	Known discovery.List
	// Settings are for the decision module.
	Settings balancer.Settings
	// Links are the settings of connections to upstreams.
	Links wire.ConnectionTimeouts
	// StateWriter saves the state that has to outlive the process. It may be nil: nothing is saved.
	StateWriter savedstate.Writer
	// UnusedKeys are the keys of the configuration file's top level that this program does not know, sorted. They are no mistake,
	// but a misspelt one shows there.
	UnusedKeys []string
	// Localities maps zones that discovery and settings name without a region to region/zone. It may be nil.
	Localities map[string]string

	openConn dialFunc // opens connections to upstreams; nil: net.DialTimeout
}

// SetLocalities sets the map from zones to region/zone. It has to be called before New.
func (c *Config) SetLocalities(localities map[string]string) {
	c.Localities = localities
	c.Settings.Zone = qualifyZone(localities, c.Settings.Zone)
}

// qualifyZone returns a zone with its region if that is known.
func qualifyZone(localities map[string]string, zone string) string {
	if qualified, ok := localities[zone]; ok {
		return qualified
	}
	return zone
}

// longestDeadline is the longest time that a client waits.
func (c *Config) longestDeadline() time.Duration {
	var longest time.Duration
	for _, class := range c.Settings.Classes {
		longest = max(longest, class.Deadline)
	}
	return longest
}

// configFile is the form of the configuration file.
type configFile struct {
	Name       string          `json:"name"`
	Listen     string          `json:"listen"`
	Discovery  string          `json:"discovery"`
	Management string          `json:"management"`
	Seed       string          `json:"seed"` // hexadecimal
	Limits     fileLimits      `json:"limits"`
	Known      discovery.List  `json:"known"`
	Settings   json.RawMessage `json:"settings"`

	text []byte // the complete file
}

// fileLimits are the limits of the process in the configuration file.
type fileLimits struct {
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// LoadConfig reads the file that the environment variable RELAY_CONFIG names. The other RELAY_ variables override it.
func LoadConfig(getenv func(string) string) (Config, error) {
	path, err := configPath(getenv)
	if err != nil {
		return Config{}, err
	}
	f, err := readConfigFile(path)
	if err != nil {
		return Config{}, err
	}
	f.override(getenv)
	c, err := f.toConfig()
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	c.ListenFD, err = parseListenerFD(getenv("RELAY_FD"))
	return c, err
}

// LoadDiscovery reads the address of discovery again from the file that RELAY_CONFIG names. It ignores RELAY_DISCOVERY,
// which counts only at the start.
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

// configPath is the path that RELAY_CONFIG names.
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

// maxUnusedKeys is how many unused keys are reported at most.
const maxUnusedKeys = 16

// unusedKeys returns the keys of a configuration's top level that are not used, sorted.
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

// override replaces what the environment sets.
func (f *configFile) override(getenv func(string) string) {
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

// toConfig checks the file and converts it.
func (f *configFile) toConfig() (Config, error) {
	c := Config{
		Name:       f.Name,
		Listen:     f.Listen,
		Discovery:  f.Discovery,
		Management: f.Management,
		Known:      f.Known,
		MemoryMB:   f.Limits.MemoryMB,
		Sockets:    f.Limits.Sockets,
		UnusedKeys: unusedKeys(f.text),
	}
	if err := c.checkAddresses(); err != nil {
		return c, err
	}
	var err error
	c.Seed, err = strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return c, fmt.Errorf("seed: %w", err)
	}
	if c.MemoryMB < minMemoryMB {
		return c, fmt.Errorf("limits: memory_mb is %d; at least %d is needed", c.MemoryMB, minMemoryMB)
	}
	if c.Sockets < minSockets {
		return c, fmt.Errorf("limits: sockets is %d; at least %d are needed", c.Sockets, minSockets)
	}
	if err := c.decodeSettings(f.Settings); err != nil {
		return c, err
	}
	for _, m := range c.Known.Members {
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

// decodeSettings decodes and checks the settings, so that an error names the file.
func (c *Config) decodeSettings(text json.RawMessage) error {
	if len(text) == 0 {
		return errors.New("settings are missing")
	}
	var err error
	c.Settings, c.Links, err = wire.DecodeSettings(text)
	if err != nil {
		return err
	}
	if err := c.Settings.Validate(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if c.Links.KeepAlive <= 0 || c.Links.ConnectTimeout <= 0 {
		return errors.New("settings: limits: keepalive_us and connect_timeout_us must be over zero")
	}
	return nil
}
