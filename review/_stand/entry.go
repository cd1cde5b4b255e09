package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of an entry at its own loopback address.
const (
	callerPort, readyPort, controlPort   = 8227, 8220, 8229
	firstFreePort, lastFreePort          = 7340, 7355
	memoryMB                             = 284
	zone1, zone2, zone3, zone4, theWorld = "hall-gent", "hall-leuven", "hall-namur", "hall-mechelen", "be-central"
)

// entry is a process of the project, started with the command of the deploy file.
type entry struct {
	name, ip, zone, store string
	root, folder          string
	seeds                 []string
	bootstrap             bool
	log                   *record

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
}

func (e *entry) callers() string { return e.ip + ":" + strconv.Itoa(callerPort) }

// settings returns the settings file of the process, as DEPLOY.md shows it.
func (e *entry) settings() map[string]any {
	return map[string]any{
		"nodeName": e.name, "role": "entry", "machineClass": "edge", "serves": []string{"edge", "control"},
		"ip": e.ip, "zone": e.zone, "region": theWorld,
		"zones": map[string]string{zone1: theWorld, zone2: theWorld, zone3: theWorld, zone4: theWorld},
		"listen": map[string]string{
			"frontend": e.callers(), "readiness": e.ip + ":" + strconv.Itoa(readyPort), "controlPlane": e.ip + ":" + strconv.Itoa(controlPort),
		},
		"portRange": []int{firstFreePort, lastFreePort}, "seeds": e.seeds, "bootstrap": e.bootstrap, "lossCounts": false,
		"limits":  map[string]any{"cpuShare": 0.304, "cores": 1, "memoryMb": memoryMB, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entrypoint": "vip", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform"},
		"faultTolerance": map[string]int{"machines": 1, "zones": 0, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8,
			"lossSlackMs": 200, "configApplyMs": 2000, "downgradeMs": 250, "outerMs": 5000, "failClosed": false, "revokeMs": 5000,
			"retryRatio": 0.2, "retryWindowS": 10, "retrySlack": 58, "recoverS": 12, "iterationMs": 120, "retryAfterS": 10,
		},
		"platform": map[string]any{
			"address": e.store, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "historyS": 20, "value_bytes": 1048576, "ttl_min_ms": 1000,
		},
	}
}

// start starts the process.
func (e *entry) start() error {
	file := filepath.Join(e.folder, e.name+".json")
	data, err := json.Marshal(e.settings())
	if err != nil {
		return err
	}
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	words := strings.Fields("target/foxcross-entry serve --platform fleet")
	c := exec.Command(filepath.Join(e.root, words[0]), words[1:]...)
	c.Dir = e.root
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "FOXCROSS_CONFIG=" + file}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := os.OpenFile(filepath.Join(e.folder, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	e.mu.Lock()
	e.command, e.exited = c, exited
	e.bootstrap = false // only the whole system's first start is one
	e.mu.Unlock()
	go func() {
		_ = c.Wait()
		_ = out.Close()
		close(exited)
	}()
	e.log.printf("platform starts %s in %s", e.name, e.zone)
	return nil
}

// kill ends the process with a signal and waits for its end.
func (e *entry) kill(s syscall.Signal) {
	e.mu.Lock()
	c, exited := e.command, e.exited
	e.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Signal(s)
	<-exited
}

// memory returns the resident memory of the process in bytes.
func (e *entry) memory() int64 {
	e.mu.Lock()
	pid := e.command.Process.Pid
	e.mu.Unlock()
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer func() { _ = f.Close() }()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// ready reports whether the process answers the platform's question with 200.
func (e *entry) ready() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + e.ip + ":" + strconv.Itoa(readyPort) + "/foxcross/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until the process says that it is ready.
func (e *entry) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if e.ready() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", e.name, limit)
}
