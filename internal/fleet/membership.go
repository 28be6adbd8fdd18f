package fleet

import (
	"net/netip"
)

// maxSeeds is the maximum number of seeds in a fleet file.
const maxSeeds = 64

// Membership configures how the balancer finds the other members of its fleet. It is enabled if there are seeds. Addresses
// have the form IP:port.
type Membership struct {
	// Listen is the address to bind for UDP and TCP. It is required if there are seeds.
	Listen string `toml:"listen"`
	// Advertise is the address at which other members reach this balancer. It defaults to Listen.
	Advertise string `toml:"tell"`
	// Seeds are the addresses of some members, at most maxSeeds. The balancer's own address may be among them, so that all
	// members can have the same list.
	Seeds []string `toml:"seeds"`
	// KeyFile is the path of the file with the encryption keys, which is reloaded when it changes. Without it messages
	// between members are not encrypted.
	KeyFile string `toml:"keys"`
}

// Enabled reports whether the balancer joins a fleet.
func (m Membership) Enabled() bool { return len(m.Seeds) > 0 }

func (m Membership) validate() error {
	if !m.Enabled() {
		if m.Listen != "" || m.Advertise != "" || m.KeyFile != "" {
			return settingErrorf("membership.seeds", "is required if listen, tell or keys is set")
		}
		return nil
	}
	if len(m.Seeds) > maxSeeds {
		return settingErrorf("membership.seeds", "got %d addresses, at most %d are allowed", len(m.Seeds), maxSeeds)
	}
	if m.Listen == "" {
		return settingErrorf("membership.listen", "is required if seeds are set")
	}
	if err := validateAddress("listen", m.Listen); err != nil {
		return err
	}
	if m.Advertise != "" {
		if err := validateAddress("tell", m.Advertise); err != nil {
			return err
		}
	}
	for _, seed := range m.Seeds {
		if err := validateAddress("seeds", seed); err != nil {
			return err
		}
	}
	return nil
}

// validateAddress returns an error for an address that other members can't connect to: one without a specific IP address or
// with port 0.
func validateAddress(key, address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		return settingErrorf("membership."+key, "invalid address %q: must be IP:port with a specific IP address and a nonzero port", address)
	}
	return nil
}
