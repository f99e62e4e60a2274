package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/citronrun/citronrun/internal/wire"
)

const (
	announceInterval = time.Second
	announceTimeout  = 500 * time.Millisecond
)

// Announcer announces a target to hosts over HTTP, every second until it is closed.
type Announcer struct {
	urls   []string
	client *http.Client
	stop   context.CancelFunc
	done   chan struct{}

	mu           sync.Mutex
	announcement wire.Announce
}

// NewAnnouncer starts to post m to each of the URLs, which must include the path /v1/announce.
func NewAnnouncer(m wire.Announce, urls ...string) *Announcer {
	ctx, stop := context.WithCancel(context.Background())
	a := &Announcer{
		urls:         urls,
		client:       &http.Client{Timeout: announceTimeout},
		stop:         stop,
		done:         make(chan struct{}),
		announcement: m,
	}
	go a.run(ctx)
	return a
}

// Leave announces at once that the target is leaving, as all later announcements do. It tries all URLs and
// returns the first error that occurs.
func (a *Announcer) Leave(ctx context.Context) error {
	a.mu.Lock()
	a.announcement.Leaving = true
	a.mu.Unlock()
	return a.post(ctx)
}

// Close stops the announcements without announcing that the target leaves, like a crash.
func (a *Announcer) Close() {
	a.stop()
	<-a.done
}

func (a *Announcer) run(ctx context.Context) {
	defer close(a.done)
	defer a.client.CloseIdleConnections()
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		_ = a.post(ctx) // retried at the next tick
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// post sends the announcement to all URLs concurrently, so that a host that hangs doesn't delay the
// others.
func (a *Announcer) post(ctx context.Context) error {
	a.mu.Lock()
	body, err := json.Marshal(a.announcement)
	a.mu.Unlock()
	if err != nil {
		return err
	}
	errs := make(chan error, len(a.urls))
	for _, url := range a.urls {
		go func() { errs <- a.postTo(ctx, url, body) }()
	}
	for range a.urls {
		if postErr := <-errs; postErr != nil && err == nil {
			err = postErr
		}
	}
	return err
}

func (a *Announcer) postTo(ctx context.Context, url string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, 4096)) // an unread body would prevent connection reuse
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("announce at %s: HTTP status %d, want %d", url, resp.StatusCode, http.StatusOK)
	}
	return nil
}
