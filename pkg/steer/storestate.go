package steer

import "sync"

// storeState remembers which kinds of objects the store last failed to deliver,
// so that losing and regaining it is logged once.
type storeState struct {
	mu   sync.Mutex
	lost map[string]bool
}

// set records an outcome and reports whether it is a change.
func (s *storeState) set(kind string, lost bool) bool {
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
