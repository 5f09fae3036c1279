// Package share divides what a leaf can bear between the entry VMs.
package share

// Connections returns how many of a leaf's connections one VM may open when
// at most vms of them exist together. It is at least one, so a leaf with fewer
// connections than VMs has to be served by a subset of them.
func Connections(limit, vms int) int {
	return max(1, limit/vms)
}

// ColdRate returns how many sub-requests a second one VM may send to a cold leaf.
func ColdRate(coldCapacityPerSecond, vms int) float64 {
	return float64(coldCapacityPerSecond) / float64(vms)
}
