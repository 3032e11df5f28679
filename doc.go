// Package gooseberrymast holds the domain types of the load balancer and the
// interfaces whose behaviour varies. The layers transport, protocol,
// coordination and state implement them; each imports only the layers to its
// right in that list and this package.
package gooseberrymast
