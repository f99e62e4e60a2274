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
	requestTimeout  = 40 * time.Second // longer than the API's own bounds
	changeAttempts  = 10
	retryPause      = 300 * time.Millisecond
	maxAnswerBytes  = 64 << 20
	statusNoAnswer  = 0
	contentTypeJSON = "application/json"
)

var errUnreachable = errors.New("no server answered")

// APIError is a refusal by the administration API.
type APIError struct {
	Status  int // HTTP status
	Code    string
	Message string
}

// Error returns the message and the code.
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

// Client calls the administration API of the first server that answers.
type Client struct {
	servers []string
	token   string
	http    *http.Client
}

// NewClient returns a client. TokenFile and caFile may be empty.
func NewClient(servers []string, tokenFile, caFile string) (*Client, error) {
	c := &Client{http: &http.Client{Timeout: requestTimeout}}
	for _, s := range servers {
		u, err := url.Parse(strings.TrimSpace(s))
		if err != nil || u.Host == "" {
			return nil, usagef("server %q is not an address such as http://127.0.0.1:8432", s)
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
			return nil, fmt.Errorf("%s holds no certificate in PEM form", caFile)
		}
		c.http.Transport = &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: roots}}
	}
	return c, nil
}

// Do sends a request and decodes the answer into out, which may be nil. Only requests that are
// idempotent may be sent, since the next server is tried when one doesn't answer.
func (c *Client) Do(ctx context.Context, method, path string, body, out any) error {
	data, err := encode(body)
	if err != nil {
		return err
	}
	var failures []error
	for _, server := range c.servers {
		answer, status, err := c.once(ctx, method, server+path, data)
		if err != nil {
			failures = append(failures, err)
			continue
		}
		if status == http.StatusServiceUnavailable && len(failures) < len(c.servers)-1 {
			failures = append(failures, apiError(status, answer))
			continue
		}
		return decode(status, answer, out)
	}
	return fmt.Errorf("%w: %w", errUnreachable, errors.Join(failures...))
}

func encode(body any) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	return json.Marshal(body)
}

func (c *Client) once(ctx context.Context, method, target string, data []byte) ([]byte, int, error) {
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(data))
	if err != nil {
		return nil, statusNoAnswer, err
	}
	req.Header.Set("Content-Type", contentTypeJSON)
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, statusNoAnswer, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	return answer, resp.StatusCode, err
}

func decode(status int, answer []byte, out any) error {
	if status != http.StatusOK {
		return apiError(status, answer)
	}
	if out == nil {
		return nil
	}
	if raw, ok := out.(*json.RawMessage); ok {
		*raw = answer
		return nil
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return fmt.Errorf("decode answer: %w", err)
	}
	return nil
}

func apiError(status int, answer []byte) *APIError {
	var refusal struct {
		Error struct{ Code, Message string }
		catalog.Result
	}
	if err := json.Unmarshal(answer, &refusal); err != nil {
		return &APIError{Status: status, Code: http.StatusText(status), Message: strings.TrimSpace(string(answer))}
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

// Change submits a change and sends it again with the same id while its outcome is unknown.
func (c *Client) Change(ctx context.Context, change catalog.Change) (catalog.Result, error) {
	var err error
	for range changeAttempts {
		var res catalog.Result
		err = c.Do(ctx, http.MethodPost, "/v1/changes", change, &res)
		if exitCode(err) != ExitUnknown {
			return res, err
		}
		select {
		case <-time.After(retryPause):
		case <-ctx.Done():
			return res, ctx.Err()
		}
	}
	return catalog.Result{}, err
}

// Catalog returns the configuration of the server that answers.
func (c *Client) Catalog(ctx context.Context) (catalog.Catalog, error) {
	var out catalog.Catalog
	err := c.Do(ctx, http.MethodGet, "/v1/catalog", nil, &out)
	return out, err
}
