package soaker

import (
	"context"
	"math/rand/v2"
	"time"
)

// restoreStore copies the store, makes it unavailable some time later, and brings it
// back from the copy. Operators repeat the writes that it lost after another while.
// Without effect while another restore is in progress.
func (s *soak) restoreStore(ctx context.Context, fault Fault, _ *rand.Rand) error {
	if !s.store.restoreMu.TryLock() {
		return nil
	}
	defer s.store.restoreMu.Unlock()
	earlier := s.store.objects.Copy()
	sleep(ctx, fault.Duration/2)
	end := s.checker.BeginDisturbance(storeName, false, time.Now())
	defer func() { end(time.Now()) }()
	for _, i := range s.instances {
		s.store.setFault(i.settings.Name, storeFault{unavailable: true})
	}
	sleep(ctx, fault.Duration/4)
	// Operators write no other document before they have repeated the lost ones.
	s.writeMu.Lock()
	defer s.writeMu.Unlock()
	repeat := s.store.objects.Restore(earlier)
	for _, i := range s.instances {
		s.store.setFault(i.settings.Name, storeFault{})
	}
	sleep(ctx, fault.Duration/4)
	repeat()
	return nil
}
