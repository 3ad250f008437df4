package entry

import "sync"

// Constants of the estimate of answer sizes.
const (
	firstAnswerBytes = 16 << 10
	sizeWeight       = 0.1
	sizeMargin       = 2
)

// answerSizes holds a moving average of answer sizes by route, for the budget
// of links.
type answerSizes struct {
	mu   sync.Mutex
	mean map[string]float64
}

func (s *answerSizes) observe(route string, n int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mean == nil {
		s.mean = map[string]float64{}
	}
	old, ok := s.mean[route]
	if !ok {
		old = float64(n)
	}
	s.mean[route] = old + sizeWeight*(float64(n)-old)
}

func (s *answerSizes) expect(route string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.mean[route]; ok {
		return sizeMargin * m
	}
	return firstAnswerBytes
}

func (h *Host) observeSize(route string, n int64) { h.answerSizes.observe(route, n) }

// sizes returns the expected bytes of a request and its answer.
func (h *Host) sizes(ex *Exchange) (request, answer float64) {
	return float64(max(0, ex.Request.ContentLength)) + float64(h.cfg.Limits.MaxHead)/16, h.answerSizes.expect(ex.Route.Name)
}
