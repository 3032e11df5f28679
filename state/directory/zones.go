package directory

import "sync"

// zoneNames numbers the availability zones so that an entry holds two bytes
// instead of a string.
type zoneNames struct {
	mu      sync.RWMutex
	names   []string
	numbers map[string]uint16
}

func (z *zoneNames) number(name string) uint16 {
	z.mu.Lock()
	defer z.mu.Unlock()
	if number, ok := z.numbers[name]; ok {
		return number
	}
	if z.numbers == nil {
		z.numbers = map[string]uint16{}
	}
	number := uint16(len(z.names))
	z.names = append(z.names, name)
	z.numbers[name] = number
	return number
}

func (z *zoneNames) name(number uint16) string {
	z.mu.RLock()
	defer z.mu.RUnlock()
	return z.names[number]
}
