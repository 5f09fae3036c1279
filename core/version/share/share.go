// Package share divides the limits of a leaf equally among the entry VMs.
package share

// Connections returns how many connections to a leaf each entry VM may open if
// at most vms entry VMs run at the same time. vms must not be 0, or Connections
// panics. The result is at least 1. A leaf that accepts fewer connections than
// there are VMs must therefore be served by a subset of the VMs, or its limit is
// exceeded.
func Connections(limit, vms int) int {
	return max(1, limit/vms)
}

// ColdRate returns how many sub-requests per second each entry VM may send to
// a cold leaf, given the number that the leaf can handle from all VMs
// together. vms must not be 0.
func ColdRate(coldCapacityPerSecond, vms int) float64 {
	return float64(coldCapacityPerSecond) / float64(vms)
}
