package live

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"sprucehill/internal/lab/scenario"
)

// logSection is the log section of a balancer's fleet file. The log is read after the run, so its format is fixed.
const logSection = "[log]\nformat = \"json\"\n"

// processConfig is the configuration file of a balancer's process, in the platform's JSON format.
type processConfig struct {
	Discovery  string          `json:"discovery"`
	Known      listing         `json:"known"`
	Limits     processLimits   `json:"limits"`
	Listen     string          `json:"listen"`
	Management string          `json:"management"`
	Name       string          `json:"name"`
	Seed       string          `json:"seed"`
	Settings   json.RawMessage `json:"settings"`
}

// processLimits is the part of the configuration on the resource limits of the process.
type processLimits struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// newNode creates the folder and the fleet file of a balancer, and opens its log.
func (r *run) newNode(b int, s *starter) (*node, error) {
	dir := r.folder(b)
	n := &node{run: r, index: b, starter: s, config: filepath.Join(dir, "config.json")}
	if err := os.MkdirAll(n.stateDir(), 0o755); err != nil {
		return nil, fmt.Errorf("%w: %w", scenario.ErrInput, err)
	}
	fleetFile := filepath.Join(dir, "fleet.toml")
	n.env = append(os.Environ(),
		"RELAY_CONFIG="+n.config,
		"RELAY_NAME="+n.name(),
		"RELAY_LISTEN="+r.clientAddress(b),
		"RELAY_DISCOVERY="+r.agentAddress(b),
		"RELAY_MANAGEMENT="+r.managementAddress(b),
		"TMPDIR="+n.stateDir(),
		"RELAY_FD=",
		"RELAY_FLEET="+fleetFile,
	)
	text := logSection
	if r.scenario.Balancer.State {
		text += fmt.Sprintf("[state]\nfolder = %q\nsite = %q\n", filepath.Join(n.stateDir(), "kept"), r.scenario.Name)
	}
	if err := os.WriteFile(fleetFile, []byte(text), 0o644); err != nil {
		return nil, fmt.Errorf("%w: %w", scenario.ErrInput, err)
	}
	log, err := os.Create(filepath.Join(dir, "log"))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", scenario.ErrInput, err)
	}
	n.log = log
	return n, nil
}

// writeConfig writes the configuration for the next start of the process. Its endpoint list is the agent's current one, or
// that of the first start if the scenario says so.
func (n *node) writeConfig() error {
	r := n.run
	if n.incarnation == 1 || r.scenario.Balancer.Known == "now" {
		n.known = r.registry.initialList(n.index)
	}
	seed := r.scenario.Seed<<24 + uint64(n.incarnation)<<12 + uint64(n.index)
	text, err := json.Marshal(processConfig{
		Discovery:  r.agentAddress(n.index),
		Known:      n.known,
		Limits:     processLimits{Cores: 1, MemoryMB: r.scenario.Balancer.MemoryMB, Sockets: r.scenario.Balancer.Sockets},
		Listen:     r.clientAddress(n.index),
		Management: r.managementAddress(n.index),
		Name:       n.name(),
		Seed:       fmt.Sprintf("%016x", seed),
		Settings:   r.scenario.Settings(r.fleet, n.index),
	})
	if err != nil {
		return err
	}
	return os.WriteFile(n.config, text, 0o644)
}
