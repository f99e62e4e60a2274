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

// API returns a client of the administration API that tries the given hosts in order; none means all
// entry hosts.
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

// applyCatalog applies the example catalog and grants each team a key. It submits the change itself,
// since citronctl apply reads the configuration first, which a new installation doesn't serve.
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

// operations returns the operations that make the whole catalog and draws the keys.
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

// Withdraw withdraws the key of a team.
func (c *Cluster) WithdrawKey(ctx context.Context, team string) error {
	return c.Submit(ctx, "withdraw-"+team, func(catalog.Catalog) []catalog.Op {
		return []catalog.Op{{WithdrawKey: &catalog.WithdrawKey{Team: team, ID: keyID}}}
	})
}

// Submit submits a change and repeats it on the newest revision after a conflict.
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
		if err == nil || ctx.Err() != nil || i == 20 {
			return err
		}
		time.Sleep(retryInterval)
	}
}

// Catalog returns the configuration that an entry host has.
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

// Services returns the names of the services in order.
func (c *Cluster) Services() []string {
	if c.Profile.Name == "prys" {
		return []string{"bookings-north", "bookings-south", "rota"}
	}
	return []string{"repairs-central", "repairs-outer", "visits"}
}

// watch polls readiness and owners until Close.
func (c *Cluster) startPolling(context.Context) error {
	ctx, stop := context.WithCancel(context.Background())
	c.stop = stop
	c.tasks.Go(func() {
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
	type answer struct {
		host   *Host
		ready  bool
		owners map[string]string
		reads  readCounts
	}
	answers := make(chan answer, len(c.Entries))
	for _, h := range c.Entries {
		go func() {
			a := answer{host: h}
			if _, err := fetch(ctx, "http://"+h.AdminAddr+"/readyz"); err == nil {
				a.ready = true
			}
			a.owners = ownedServices(ctx, h)
			a.reads = fetchReads(ctx, h)
			answers <- a
		}()
	}
	var all []answer
	for range c.Entries {
		all = append(all, <-answers)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var ready []*Host
	for _, a := range all {
		c.reads.add(a.host.Name, a.reads)
		if a.ready {
			ready = append(ready, a.host)
		}
		maps.Copy(c.owners, a.owners)
	}
	c.ready = ready
}

// owners returns the services that a host holds a lease for.
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

// Owner returns the host that owns a service, as last seen.
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

// Pick returns a random entry host that takes callers, or nil.
func (c *Cluster) PickReady(rng *rand.Rand) *Host {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ready) == 0 {
		return nil
	}
	return c.ready[rng.IntN(len(c.ready))]
}

// Leader returns the control host that leads, or nil.
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

// await waits until all entry hosts are ready and all services have an owner.
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
			return fmt.Errorf("%d of %d entry hosts are ready and %d of %d services have an owner",
				ready, len(c.Entries), owned, len(c.Services()))
		}
	}
}
