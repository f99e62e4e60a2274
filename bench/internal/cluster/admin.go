package cluster

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/tailscale/hujson"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/ctl"
)

const (
	pollInterval  = 200 * time.Millisecond
	pollTimeout   = time.Second
	retryInterval = 50 * time.Millisecond

	maxSubmitRetries = 20
)

var httpClient = &http.Client{Timeout: pollTimeout}

func fetch(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := httpClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: status %d: %s", url, resp.StatusCode, bytes.TrimSpace(body))
	}
	return body, err
}

// API returns a client of the administration API that tries the given hosts in order, or all entry
// hosts if none are given.
func (c *Cluster) API(hosts ...*Host) (*ctl.Client, error) {
	if len(hosts) == 0 {
		hosts = c.Entries
	}
	var urls []string
	for _, h := range hosts {
		urls = append(urls, "http://"+h.AdminAddr)
	}
	return ctl.NewClient(urls, "", "")
}

// applyCatalog applies the example catalog of the profile and grants each team a key. It submits the
// change directly: citronctl apply first reads the configuration, which a new installation doesn't
// serve.
func (c *Cluster) applyCatalog(ctx context.Context) error {
	file, err := readCatalog(filepath.Join(c.root, "examples", c.Profile.Name, "catalog.jsonc"))
	if err != nil {
		return err
	}
	api, err := c.API()
	if err != nil {
		return err
	}
	for {
		_, err = api.Change(ctx, catalog.Change{ID: "apply", Operator: "bench", Ops: c.catalogOps(file)})
		if err == nil {
			return nil
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return fmt.Errorf("apply catalog: %w", err)
		}
	}
}

func readCatalog(name string) (ctl.File, error) {
	var f ctl.File
	data, err := os.ReadFile(name)
	if err != nil {
		return f, err
	}
	plain, err := hujson.Standardize(data)
	if err != nil {
		return f, fmt.Errorf("%s: %w", name, err)
	}
	return f, json.Unmarshal(plain, &f)
}

// catalogOps returns the operations that create the entire catalog, and generates the teams' keys.
func (c *Cluster) catalogOps(f ctl.File) []catalog.Op {
	var ops []catalog.Op
	for _, name := range slices.Sorted(maps.Keys(f.Teams)) {
		sum := sha256.Sum256([]byte("key of " + name))
		c.Keys[name] = "key-" + hex.EncodeToString(sum[:16])
		ops = append(ops,
			catalog.Op{PutTeam: &catalog.PutTeam{Name: name, Labels: f.Teams[name].Labels}},
			catalog.Op{GrantKey: &catalog.GrantKey{Team: name, ID: keyID, Secret: c.Keys[name]}})
	}
	for _, name := range slices.Sorted(maps.Keys(f.Services)) {
		ops = append(ops, catalog.Op{PutService: &catalog.PutService{Name: name, Service: f.Services[name]}})
	}
	for _, name := range slices.Sorted(maps.Keys(f.Policies)) {
		ops = append(ops, catalog.Op{PutPolicy: &catalog.PutPolicy{Name: name, Policy: f.Policies[name]}})
	}
	return ops
}

// WithdrawKey withdraws the key of a team.
func (c *Cluster) WithdrawKey(ctx context.Context, team string) error {
	return c.Submit(ctx, "withdraw-"+team, func(catalog.Catalog) []catalog.Op {
		return []catalog.Op{{WithdrawKey: &catalog.WithdrawKey{Team: team, ID: keyID}}}
	})
}

// Submit submits a change on the current revision and retries it on failure, at most
// maxSubmitRetries times.
func (c *Cluster) Submit(ctx context.Context, id string, ops func(catalog.Catalog) []catalog.Op) error {
	api, err := c.API()
	if err != nil {
		return err
	}
	for i := 0; ; i++ {
		current, err := api.Catalog(ctx)
		if err != nil {
			return err
		}
		_, err = api.Change(ctx, catalog.Change{ID: fmt.Sprintf("%s-%d", id, i), Base: current.Revision, Operator: "bench", Ops: ops(current)})
		if err == nil || ctx.Err() != nil || i == maxSubmitRetries {
			return err
		}
		time.Sleep(retryInterval)
	}
}

// Catalog returns the current configuration of an entry host.
func (c *Cluster) Catalog(ctx context.Context) (*catalog.Snapshot, error) {
	api, err := c.API()
	if err != nil {
		return nil, err
	}
	current, err := api.Catalog(ctx)
	if err != nil {
		return nil, err
	}
	return catalog.NewSnapshot(current)
}

// Services returns the names of the profile's services in order.
func (c *Cluster) Services() []string {
	if c.Profile.Name == "prys" {
		return []string{"bookings-north", "bookings-south", "rota"}
	}
	return []string{"repairs-central", "repairs-outer", "visits"}
}

// startPolling starts to poll the entry hosts' readiness, leases and read counters until Close.
func (c *Cluster) startPolling(context.Context) error {
	ctx, stop := context.WithCancel(context.Background())
	c.stopPolling = stop
	c.background.Go(func() {
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		for {
			c.poll(ctx)
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
	})
	return nil
}

func (c *Cluster) poll(ctx context.Context) {
	type pollResult struct {
		host   *Host
		ready  bool
		owners map[string]string
		reads  readCounts
	}
	results := make(chan pollResult, len(c.Entries))
	for _, h := range c.Entries {
		go func() {
			result := pollResult{host: h}
			if _, err := fetch(ctx, "http://"+h.AdminAddr+"/readyz"); err == nil {
				result.ready = true
			}
			result.owners = ownedServices(ctx, h)
			result.reads = fetchReads(ctx, h)
			results <- result
		}()
	}
	var all []pollResult
	for range c.Entries {
		all = append(all, <-results)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var ready []*Host
	for _, result := range all {
		c.reads.add(result.host.Name, result.reads)
		if result.ready {
			ready = append(ready, result.host)
		}
		maps.Copy(c.owners, result.owners)
	}
	c.ready = ready
}

// ownedServices returns the host's name by service, for the services that it holds a lease for.
func ownedServices(ctx context.Context, h *Host) map[string]string {
	body, err := fetch(ctx, "http://"+h.AdminAddr+"/debug/state")
	if err != nil {
		return nil
	}
	var state struct {
		Agent struct {
			Leases map[string]struct {
				Left float64 `json:"left_s"`
			} `json:"leases"`
		} `json:"agent"`
	}
	if json.Unmarshal(body, &state) != nil {
		return nil
	}
	out := map[string]string{}
	for service, lease := range state.Agent.Leases {
		if lease.Left > 0 {
			out[service] = h.Name
		}
	}
	return out
}

// Owner returns the host that owned a service in the latest poll, or nil if none did so far.
func (c *Cluster) Owner(service string) *Host {
	c.mu.Lock()
	name := c.owners[service]
	c.mu.Unlock()
	return c.Host(name)
}

func (c *Cluster) ownerPlace(service string) string {
	if h := c.Owner(service); h != nil {
		return h.Place
	}
	return ""
}

// PickReady returns a random entry host that is ready for callers, or nil if there is none.
func (c *Cluster) PickReady(rng *rand.Rand) *Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ready) == 0 {
		return nil
	}
	return c.ready[rng.IntN(len(c.ready))]
}

// Leader returns the control host that reports itself as leader, or nil if there is none.
func (c *Cluster) Leader(ctx context.Context) *Host {
	for _, h := range c.Control {
		body, err := fetch(ctx, "http://"+h.AdminAddr+"/debug/state")
		if err != nil {
			continue
		}
		var state struct {
			Replica struct{ LeaderSince time.Time } `json:"replica"`
		}
		if json.Unmarshal(body, &state) == nil && !state.Replica.LeaderSince.IsZero() {
			return h
		}
	}
	return nil
}

// awaitReady waits until all entry hosts are ready and all services have an owner.
func (c *Cluster) awaitReady(ctx context.Context) error {
	for {
		c.mu.Lock()
		ready, owned := len(c.ready), len(c.owners)
		c.mu.Unlock()
		if ready == len(c.Entries) && owned == len(c.Services()) {
			return nil
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return fmt.Errorf("cluster is not ready: %d of %d entry hosts are ready and %d of %d services have an owner",
				ready, len(c.Entries), owned, len(c.Services()))
		}
	}
}
