package upstream

import (
	"hash/maphash"
	"slices"
)

// maxRequestsPerConnection is the number of requests after which a connection is
// closed. It bounds the memory for the ids that the connection carried.
const maxRequestsPerConnection = 1024

// idHasher hashes request ids. Its seed differs between pools, so that callers can't
// choose ids with equal hashes.
type idHasher struct{ seed maphash.Seed }

func newIDHasher() idHasher { return idHasher{seed: maphash.MakeSeed()} }

// hash returns the hash of a request id.
func (h idHasher) hash(id string) uint32 { return uint32(maphash.String(h.seed, id)) }

// carriedIDs holds the hashes of the ids of all requests that a connection carried. A
// target may send a second copy of a response late, and the id in it tells it apart
// only from responses to requests with other ids. Two ids with equal hashes cost a new
// connection, nothing else.
type carriedIDs struct{ hashes []uint32 }

// contains reports whether the connection carried a request whose id has this hash.
func (c *carriedIDs) contains(hash uint32) bool { return slices.Contains(c.hashes, hash) }

// add records that the connection carries a request whose id has this hash.
func (c *carriedIDs) add(hash uint32) { c.hashes = append(c.hashes, hash) }

// full reports whether the connection must not carry another request.
func (c *carriedIDs) full() bool { return len(c.hashes) >= maxRequestsPerConnection }
