package fleet

import (
	"slices"
	"strings"
)

// Regions has the zones of each region, for sites whose discovery names zones without their region.
type Regions map[string][]string

func (r Regions) validate() error {
	regionOf := map[string]string{}
	for region, zones := range r {
		if !isPlainName(region) {
			return badSetting("regions", "%q is no name of a region: it may not be empty or have a slash", region)
		}
		for _, zone := range zones {
			if !isPlainName(zone) {
				return badSetting("regions."+region, "%q is no name of a zone: it may not be empty or have a slash", zone)
			}
			if other, taken := regionOf[zone]; taken {
				both := []string{other, region}
				slices.Sort(both)
				return badSetting("regions", "zone %q stands in both %s and %s", zone, both[0], both[1])
			}
			regionOf[zone] = region
		}
	}
	return nil
}

// isPlainName reports whether a name can be a part of region/zone.
func isPlainName(name string) bool { return name != "" && !strings.Contains(name, "/") }

// localities returns the region/zone of each zone, or nil if there are none.
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
