// Package trier runs the whole system on loopback in one process, under traffic
// and changes, and checks what callers received against what the stand-in
// backend servers ran.
package trier

import (
	"fmt"
	"time"
)

// Deployment describes the size of a user's environment.
type Deployment struct {
	// Name identifies the deployment on the command line, in kebab case.
	Name string
	// Zones lists the availability zones.
	Zones []string
	// Services lists the services. Their backend servers are assigned to the zones
	// in turn.
	Services []DeployedService
	// CallerDelay is the one-way delay between a caller and a balancer.
	CallerDelay time.Duration
}

// DeployedService is one service of a deployment.
type DeployedService struct {
	// Name is the service's name in the document.
	Name string
	// Servers is the number of backend servers.
	Servers int
	// Slots is the number of requests that a backend server runs at once.
	Slots int
	// WorkPath is the path of the service's short requests.
	WorkPath string
}

// The users' current deployments.
var (
	Nilebridge = Deployment{
		Name:  "nilebridge",
		Zones: []string{"cairo-a", "cairo-b", "cairo-c"},
		Services: []DeployedService{
			{Name: "ledger", Servers: 7, Slots: 4, WorkPath: "/work/reserve"},
			{Name: "receipts", Servers: 3, Slots: 4, WorkPath: "/work/slip"},
		},
		CallerDelay: time.Millisecond,
	}
	Magnolia = Deployment{
		Name:  "magnolia",
		Zones: []string{"dixie-a", "dixie-b", "dixie-c", "dixie-d"},
		Services: []DeployedService{
			{Name: "letter-desk", Servers: 7, Slots: 5, WorkPath: "/work/claim"},
			{Name: "keepsake-press", Servers: 4, Slots: 5, WorkPath: "/work/certificate"},
		},
		CallerDelay: time.Millisecond,
	}
)

// DeploymentByName returns the deployment with the given name.
func DeploymentByName(name string) (Deployment, error) {
	for _, d := range []Deployment{Nilebridge, Magnolia} {
		if d.Name == name {
			return d, nil
		}
	}
	return Deployment{}, fmt.Errorf("DeploymentByName: %q is neither nilebridge nor magnolia", name)
}
