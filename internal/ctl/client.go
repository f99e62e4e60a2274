package ctl

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/citronrun/citronrun/internal/catalog"
)

const (
	requestTimeout    = 40 * time.Second // longer than any time limit of the API itself
	maxChangeAttempts = 10
	retryInterval     = 300 * time.Millisecond
	maxResponseBytes  = 64 << 20
	statusNoResponse  = 0
	contentTypeJSON   = "application/json"
)

var errUnreachable = errors.New("no server answered")

// APIError is an error response of the administration API.
type APIError struct {
	Status  int // HTTP status code
	Code    string
	Message string
}

func (e *APIError) Error() string { return fmt.Sprintf("%s (%s)", e.Message, e.Code) }

func (e *APIError) exitCode() int {
	switch e.Status {
	case http.StatusConflict:
		return ExitConflict
	case http.StatusUnprocessableEntity, http.StatusBadRequest:
		return ExitInvalid
	case http.StatusServiceUnavailable:
		return ExitUnknown
	default:
		return ExitFailed
	}
}

// Client calls the administration API of the first server that responds.
type Client struct {
	servers []string
	token   string
	http    *http.Client
}

// NewClient returns a client of the servers, which are tried in order. An empty tokenFile means no
// operator token, an empty caFile the system's certificate authorities.
func NewClient(servers []string, tokenFile, caFile string) (*Client, error) {
	c := &Client{http: &http.Client{Timeout: requestTimeout}}
	for _, s := range servers {
		u, err := url.Parse(strings.TrimSpace(s))
		if err != nil || u.Host == "" {
			return nil, usagef("server %q is not a URL such as http://127.0.0.1:8432", s)
		}
		c.servers = append(c.servers, strings.TrimSuffix(u.String(), "/"))
	}
	if tokenFile != "" {
		token, err := os.ReadFile(tokenFile)
		if err != nil {
			return nil, err
		}
		c.token = strings.TrimSpace(string(token))
	}
	if caFile != "" {
		pem, err := os.ReadFile(caFile)
		if err != nil {
			return nil, err
		}
		roots := x509.NewCertPool()
		if !roots.AppendCertsFromPEM(pem) {
			return nil, fmt.Errorf("%s: no certificate in PEM format found", caFile)
		}
		c.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: roots}}
	}
	return c, nil
}

// Do sends a request and decodes the response into out, which may be nil. The request must be idempotent, since
// it is sent to the next server when one doesn't respond or responds with status 503.
func (c *Client) Do(ctx context.Context, method, path string, body, out any) error {
	data, err := encodeBody(body)
	if err != nil {
		return err
	}
	var failures []error
	for _, server := range c.servers {
		response, status, err := c.sendOnce(ctx, method, server+path, data)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		if status == http.StatusServiceUnavailable && len(failures) < len(c.servers)-1 {
			failures = append(failures, apiError(status, response))
			continue
		}
		return decodeResponse(status, response, out)
	}
	return fmt.Errorf("%w: %w", errUnreachable, errors.Join(failures...))
}

func encodeBody(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	return json.Marshal(body)
}

// sendOnce sends a request to one server and returns the body and the status code of its response.
func (c *Client) sendOnce(ctx context.Context, method, endpoint string, data []byte) ([]byte, int, error) {
	req, err := http.NewRequestWithContext(ctx, method, endpoint, bytes.NewReader(data))
	if err != nil {
		return nil, statusNoResponse, err
	}
	req.Header.Set("Content-Type", contentTypeJSON)
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, statusNoResponse, err
	}
	defer resp.Body.Close()
	response, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	return response, resp.StatusCode, err
}

func decodeResponse(status int, response []byte, out any) error {
	if status != http.StatusOK {
		return apiError(status, response)
	}
	if out == nil {
		return nil
	}
	if raw, ok := out.(*json.RawMessage); ok {
		*raw = response
		return nil
	}
	if err := json.Unmarshal(response, out); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

// apiError decodes an error response. Its body holds an error object, the result of a refused change, or
// plain text.
func apiError(status int, response []byte) *APIError {
	var refusal struct {
		Error struct{ Code, Message string }
		catalog.Result
	}
	if err := json.Unmarshal(response, &refusal); err != nil {
		return &APIError{Status: status, Code: http.StatusText(status), Message: strings.TrimSpace(string(response))}
	}
	if refusal.Error.Code != "" {
		return &APIError{Status: status, Code: refusal.Error.Code, Message: refusal.Error.Message}
	}
	message := refusal.Result.Message
	if refusal.Field != "" {
		message = refusal.Field + ": " + message
	}
	return &APIError{Status: status, Code: string(refusal.Result.Code), Message: message}
}

// Change submits a change. While the outcome is unknown, it sends the change again with the same id, by
// which the leader detects a change that it has already applied.
func (c *Client) Change(ctx context.Context, change catalog.Change) (catalog.Result, error) {
	var err error
	for range maxChangeAttempts {
		var res catalog.Result
		err = c.Do(ctx, http.MethodPost, "/v1/changes", change, &res)
		if exitCode(err) != ExitUnknown {
			return res, err
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return res, ctx.Err()
		}
	}
	return catalog.Result{}, err
}

// Catalog returns the configuration of the first server that responds.
func (c *Client) Catalog(ctx context.Context) (catalog.Catalog, error) {
	var out catalog.Catalog
	err := c.Do(ctx, http.MethodGet, "/v1/catalog", nil, &out)
	return out, err
}
