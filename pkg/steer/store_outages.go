package steer

import "sync"

// storeOutages holds, for each kind of objects, whether the last call to the store
// failed, so that only the first failure and the first success after it are
// logged.
type storeOutages struct {
	mu   sync.Mutex
	lost map[string]bool
}

// set records whether the last call for a kind failed, and reports whether that
// differs from the call before.
func (s *storeOutages) set(kind string, lost bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost == nil {
		s.lost = map[string]bool{}
	}
	if s.lost[kind] == lost {
		return false
	}
	s.lost[kind] = lost
	return true
}

func (l *eventLog) storeAnswered(kind string) {
	if l.store.set(kind, false) {
		l.Info().Str("kind", kind).Msg("platform store regained")
	}
}

func (l *eventLog) storeFailed(kind string, err error) {
	if l.store.set(kind, true) {
		l.Warn().Str("kind", kind).Err(err).Msg("platform store lost")
	}
}
