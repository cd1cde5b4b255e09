package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"foxcross.dev/foxcross/internal/relay/admin"
)

const (
	// callTimeout bounds a request to the entry.
	callTimeout = 60 * time.Second
	// maxResponse bounds a response, in bytes. The largest is a whole tree.
	maxResponse = 64 << 20
)

// Tree holds the commands on the settings tree. Any entry can serve them.
type Tree struct {
	Get      GetTree      `command:"get" description:"print the tree"`
	Put      PutTree      `command:"put" description:"put a tree from a file in force"`
	Set      SetNode      `command:"set" description:"set one node"`
	Remove   RemoveNode   `command:"remove" description:"remove a node and those below it"`
	Diff     DiffTree     `command:"diff" description:"print what two versions hold differently"`
	History  HistoryTree  `command:"history" description:"print the last versions"`
	Rollback RollbackTree `command:"rollback" description:"put an older version in force as a new one"`
}

// adminClient holds the options of requests to the admin interface of an entry.
type adminClient struct {
	Entry  string `long:"entry" default:"http://127.0.0.1:8011" description:"admin URL of an entry"`
	Key    string `long:"key" env:"FOXCROSS_ADMIN_KEY" description:"operators' bearer key"`
	Author string `long:"author" env:"USER" description:"who makes the change"`
	Note   string `long:"note" description:"why the change is made"`
}

// adminResponse is a successful response of an entry.
type adminResponse struct {
	body []byte
	etag string
}

// call sends a request to the entry. match is the If-Match header, empty for none.
func (c adminClient) call(method, path string, query url.Values, body []byte, match string) (adminResponse, error) {
	address := strings.TrimSuffix(c.Entry, "/") + path + "?" + query.Encode()
	request, err := http.NewRequest(method, address, bytes.NewReader(body))
	if err != nil {
		return adminResponse{}, err
	}
	request.Header.Set("Authorization", "Bearer "+c.Key)
	request.Header.Set(admin.AuthorField, c.Author)
	request.Header.Set(admin.NoteField, c.Note)
	if match != "" {
		request.Header.Set("If-Match", match)
	}
	client := http.Client{Timeout: callTimeout}
	response, err := client.Do(request)
	if err != nil {
		return adminResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponse))
	if err != nil {
		return adminResponse{}, err
	}
	if response.StatusCode != http.StatusOK {
		return adminResponse{}, responseError(response.Status, data)
	}
	return adminResponse{body: data, etag: response.Header.Get("ETag")}, nil
}

func responseError(status string, data []byte) error {
	var f admin.ErrorResponse
	if err := json.Unmarshal(data, &f); err != nil {
		return fmt.Errorf("the entry answered %s", status)
	}
	return fmt.Errorf("%d %s: %s (%s)", f.Code, f.Type, f.Message, f.Run)
}

// print sends a request and prints the body of the response.
func (c adminClient) print(method, path string, query url.Values, body []byte, match string) error {
	r, err := c.call(method, path, query, body, match)
	if err != nil {
		return err
	}
	_, err = output.Write(r.body)
	return err
}

// GetTree prints the tree.
type GetTree struct {
	adminClient
	Version uint64 `long:"version" description:"an older version"`
}

// Execute runs the command. The version is printed to standard error, so that standard
// output holds only the tree.
func (c *GetTree) Execute([]string) error {
	query := url.Values{}
	if c.Version > 0 {
		query.Set("version", strconv.FormatUint(c.Version, 10))
	}
	r, err := c.call(http.MethodGet, admin.TreePath, query, nil, "")
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintln(os.Stderr, "version", r.etag)
	_, err = output.Write(r.body)
	return err
}

// PutTree replaces the active tree.
type PutTree struct {
	adminClient
	File   string `long:"file" short:"f" required:"yes" description:"file with the whole tree"`
	Base   uint64 `long:"base" description:"version that the file was made from"`
	DryRun bool   `long:"dry-run" description:"only check the tree and print what it changes"`
}

// Execute runs the command.
func (c *PutTree) Execute([]string) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return err
	}
	return c.print(http.MethodPut, admin.TreePath, dryRunQuery(c.DryRun), data, ifMatch(c.Base))
}

func ifMatch(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }

func dryRunQuery(on bool) url.Values {
	query := url.Values{}
	if on {
		query.Set("dry_run", "1")
	}
	return query
}

// SetNode sets one node.
type SetNode struct {
	adminClient
	Path   string `long:"path" required:"yes" description:"path of the node, such as classes/language/member-chat"`
	Node   string `long:"node" required:"yes" description:"the node as JSON, such as {\"kind\":\"class\",\"set\":{\"tier\":0}}"`
	Base   uint64 `long:"base" description:"version that the change was made from; without it the newest"`
	DryRun bool   `long:"dry-run" description:"only check the change and print it"`
}

// Execute runs the command.
func (c *SetNode) Execute([]string) error {
	query := dryRunQuery(c.DryRun)
	query.Set("path", c.Path)
	match := ""
	if c.Base > 0 {
		match = ifMatch(c.Base)
	}
	return c.print(http.MethodPatch, admin.NodePath, query, []byte(c.Node), match)
}

// RemoveNode removes a node and those below it.
type RemoveNode struct {
	adminClient
	Path   string `long:"path" required:"yes" description:"path of the node"`
	DryRun bool   `long:"dry-run" description:"only check the change and print it"`
}

// Execute runs the command.
func (c *RemoveNode) Execute([]string) error {
	query := dryRunQuery(c.DryRun)
	query.Set("path", c.Path)
	return c.print(http.MethodDelete, admin.NodePath, query, nil, "")
}

// DiffTree compares two versions.
type DiffTree struct {
	adminClient
	From uint64 `long:"from" required:"yes" description:"older version"`
	To   uint64 `long:"to" required:"yes" description:"newer version"`
}

// Execute runs the command.
func (c *DiffTree) Execute([]string) error {
	query := url.Values{
		"from": {strconv.FormatUint(c.From, 10)},
		"to":   {strconv.FormatUint(c.To, 10)},
	}
	return c.print(http.MethodGet, admin.DiffPath, query, nil, "")
}

// HistoryTree lists versions.
type HistoryTree struct {
	adminClient
	Count int `long:"count" default:"20" description:"how many versions"`
}

// Execute runs the command.
func (c *HistoryTree) Execute([]string) error {
	return c.print(http.MethodGet, admin.HistoryPath, url.Values{"count": {strconv.Itoa(c.Count)}}, nil, "")
}

// RollbackTree activates an older tree as a new version.
type RollbackTree struct {
	adminClient
	Version uint64 `long:"version" required:"yes" description:"version whose tree is to be in force again"`
	DryRun  bool   `long:"dry-run" description:"only check the change and print it"`
}

// Execute runs the command.
func (c *RollbackTree) Execute([]string) error {
	query := dryRunQuery(c.DryRun)
	query.Set("version", strconv.FormatUint(c.Version, 10))
	return c.print(http.MethodPost, admin.RollbackPath, query, nil, "")
}
