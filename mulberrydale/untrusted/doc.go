// Package untrusted holds the tests of the server program against callers whose
// behaviour nobody controls. They run the program as processes of their own, built
// without the race detector, and check that each process stays alive, keeps its peak
// memory and its open descriptors below a bound, and answers an ordinary request.
package untrusted
