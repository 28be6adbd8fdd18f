package fleet

import (
	"slices"
	"strings"
)

// Regions maps each region to its zones, for sites whose discovery names zones without their region.
type Regions map[string][]string

func (r Regions) validate() error {
	regionOf := map[string]string{}
	for region, zones := range r {
		if !isValidName(region) {
			return settingErrorf("regions", "invalid region name %q: must not be empty or contain a slash", region)
		}
		for _, zone := range zones {
			if !isValidName(zone) {
				return settingErrorf("regions."+region, "invalid zone name %q: must not be empty or contain a slash", zone)
			}
			if other, taken := regionOf[zone]; taken {
				both := []string{other, region}
				slices.Sort(both)
				return settingErrorf("regions", "zone %q is listed in both %s and %s", zone, both[0], both[1])
			}
			regionOf[zone] = region
		}
	}
	return nil
}

// isValidName reports whether a name can be either part of a locality, region/zone.
func isValidName(name string) bool { return name != "" && !strings.Contains(name, "/") }

// localities returns the locality, region/zone, of each zone, or nil if there are no zones.
func (r Regions) localities() map[string]string {
	var localityOf map[string]string
	for region, zones := range r {
		for _, zone := range zones {
			if localityOf == nil {
				localityOf = map[string]string{}
			}
			localityOf[zone] = region + "/" + zone
		}
	}
	return localityOf
}
