package gooseberrymast

import "time"

// AgentStatus is one agent's report on itself, as served to operators.
type AgentStatus struct {
	// Instance is the agent's identity.
	Instance Identity `json:"instance"`
	// Time is when the agent answered, by its own clock.
	Time time.Time `json:"time"`
	// Environment, Service and Zone come from the agent's settings.
	Environment string `json:"environment"`
	Service     string `json:"service"`
	Zone        string `json:"zone"`
	// Revision is the revision that the agent has in force, or zero.
	Revision uint64 `json:"revision"`
	// State is the announced state in kebab case.
	State string `json:"state"`
	// Healthy is set when the backend server's last health check passed.
	Healthy bool `json:"healthy"`
	// Flows counts the callers' connections that are open at the agent.
	Flows int `json:"flows"`
	// Streams counts the open streams; a drain waits for them.
	Streams int `json:"streams"`
	// Running counts the requests in progress at the backend server.
	Running int `json:"running"`
	// Queued counts the requests that wait in the agent's queue.
	Queued int `json:"queued"`
}
