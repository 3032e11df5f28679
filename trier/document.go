package trier

import (
	"fmt"

	"github.com/BurntSushi/toml"

	"gooseberrymast"
	"gooseberrymast/standin/backend"
)

// documentText returns the deployment's document as TOML.
func documentText(deployment Deployment) ([]byte, error) {
	document := gooseberrymast.Document{Zones: deployment.Zones, Services: map[string]gooseberrymast.Service{}}
	for _, s := range deployment.Services {
		var service gooseberrymast.Service
		service.Limits.Slots = s.Slots
		service.Streams = []string{backend.PathPush, backend.PathEcho}
		service.CrossZone = gooseberrymast.CrossZoneWhenFull
		document.Services[s.Name] = service
	}
	document.SetDefaults()
	text, err := toml.Marshal(document)
	if err != nil {
		return nil, fmt.Errorf("documentText: %w", err)
	}
	return text, nil
}
