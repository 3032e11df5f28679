// Package gooseberrymast holds the domain types of the load balancer and the
// interfaces that its layers implement. The layers are transport, protocol,
// coordination and state; each imports only this package and the layers after
// it in that list.
package gooseberrymast
