package fleet

import (
	"net/netip"
)

// maxSeeds is the largest number of seeds in a file.
const maxSeeds = 64

// Membership says how the balancer finds the other members of its fleet. It is on if it names seeds. Addresses are of
// the form IP:port.
type Membership struct {
	// Listen is the address that the balancer binds, for UDP and TCP. It is required if there are seeds.
	Listen string `toml:"listen"`
	// Advertise is the address at which others reach the balancer; empty: Listen.
	Advertise string `toml:"tell"`
	// Seeds are the addresses of some members, at most maxSeeds. This balancer may be among them, so that all members can
	// have the same list.
	Seeds []string `toml:"seeds"`
	// KeyFile is the path of the file of encryption keys, which is read again when it changes. Without it nothing is
	// encrypted.
	KeyFile string `toml:"keys"`
}

// Enabled reports whether the balancer is to take part in membership.
func (m Membership) Enabled() bool { return len(m.Seeds) > 0 }

func (m Membership) validate() error {
	if !m.Enabled() {
		if m.Listen != "" || m.Advertise != "" || m.KeyFile != "" {
			return badSetting("membership.seeds", "is missing")
		}
		return nil
	}
	if len(m.Seeds) > maxSeeds {
		return badSetting("membership.seeds", "%d, more than %d", len(m.Seeds), maxSeeds)
	}
	if m.Listen == "" {
		return badSetting("membership.listen", "is missing")
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

// validateAddress returns an error if others can't reach an address.
func validateAddress(key, address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		return badSetting("membership."+key, "%q is no IP:port", address)
	}
	return nil
}
