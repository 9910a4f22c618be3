package batchlog

import "context"

// Open takes over the jobs that are not known to be sealed, as far as Permit allows.
func (s *Store) Open(ctx context.Context) (Opened, error) {
	opening := s.Opening()
	if err := opening.List(ctx); err != nil {
		return Opened{}, err
	}
	return opening.TakeOver(ctx)
}
