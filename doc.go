// Package gooseberrymast holds the domain types of the load balancer and the
// interfaces between its layers: transport, protocol, coordination and state.
// Each layer imports only this package and the layers after it in that list.
package gooseberrymast
