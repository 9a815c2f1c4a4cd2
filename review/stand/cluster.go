//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/magnoliarelay/magnoliarelay/internal/fake/proxy"
	"github.com/magnoliarelay/magnoliarelay/platform/fakes"
)

const (
	callerHost = "pupu76.example"
	readyWait  = 20 * time.Second
	maxNetwork = 250
)

const (
	zonePalermo = "palermo-vucciria"
	zoneCatania = "catania-fera"
	zoneRagusa  = "ragusa-ibla"
	memoryMB    = 284
)

func regionOf(zone string) string {
	name, _, _ := strings.Cut(zone, "-")
	return name
}

// process is one node.
type process struct {
	name, ip  string
	front     string
	ready     string
	directory string
	zone      string
	config    string
	command   *exec.Cmd
	ended     chan struct{}
}

// cluster is a store, nodes and targets.
type cluster struct {
	record *record
	folder string
	node   string
	store  *fakes.Store
	// storeLink, if set, is what the nodes connect to instead of the store.
	storeLink *proxy.Proxy
	nodes     []*process
	targets   []*target
	version   int
	// network is the third number of the addresses of the nodes.
	network int
}

// startStore starts the store, with a delay on the way to it and back.
func (c *cluster) startStore() error {
	c.store = fakes.NewStore()
	c.storeLink = &proxy.Proxy{Target: c.store.Address()}
	if err := c.storeLink.Start(); err != nil {
		return err
	}
	c.storeLink.SetFaults(proxy.Faults{Delay: storeDelay})
	return nil
}

func (c *cluster) storeAddress() string {
	if c.storeLink != nil {
		return c.storeLink.Address()
	}
	return c.store.Address()
}

// freePorts returns ports of an address that are free for TCP and UDP.
func freePorts(ip string, count int) ([]int, error) {
	var ports []int
	for len(ports) < count {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		port := listener.Addr().(*net.TCPAddr).Port
		socket, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			// Another process uses it.
			continue
		}
		defer socket.Close()
		ports = append(ports, port)
	}
	return ports, nil
}

// startNode starts a node with the command of the deploy file.
func (c *cluster) startNode(zone string) (*process, error) {
	index := len(c.nodes)
	if c.network == 0 {
		// Cases that are played at the same time get addresses of their own.
		c.network = 1 + rand.IntN(maxNetwork)
	}
	ip := fmt.Sprintf("127.0.%d.%d", c.network, 11+index)
	ports, err := freePorts(ip, 4)
	if err != nil {
		return nil, err
	}
	p := &process{
		name: fmt.Sprintf("frontend-%s-%d", zone, index+1), ip: ip, front: fmt.Sprintf("%s:%d", ip, ports[0]),
		ready: fmt.Sprintf("%s:%d", ip, ports[1]), directory: fmt.Sprintf("%s:%d", ip, ports[2]), zone: zone, config: filepath.Join(c.folder, fmt.Sprintf("boot-%d.yaml", index)),
	}
	content := fmt.Sprintf(settingsFile, p.name, ip, zone, regionOf(zone), ports[0], ports[1], ports[2], ports[3], ports[3]+15, c.storeAddress(), memoryMB, true)
	if err := os.WriteFile(p.config, []byte(content), 0o600); err != nil {
		return nil, err
	}
	c.nodes = append(c.nodes, p)
	return p, c.launch(p)
}

// restarted notes in the settings of all nodes that the system has been started before.
func (c *cluster) restarted() error {
	for _, p := range c.nodes {
		content, err := os.ReadFile(p.config)
		if err != nil {
			return err
		}
		if err := os.WriteFile(p.config, []byte(strings.Replace(string(content), "bootstrap: true", "bootstrap: false", 1)), 0o600); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) launch(p *process) error {
	log, err := os.OpenFile(p.config+".log", os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.command = exec.Command(c.node)
	p.command.Env = []string{"MAGNOLIARELAY_CONFIG=" + p.config, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	p.command.Stdout, p.command.Stderr = log, log
	// A node does not outlive the case.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.ended = ended
	go func() {
		// How it ended is read from its state.
		_ = p.command.Wait()
		_ = log.Close()
		close(ended)
	}()
	c.record.line("node %s started, front %s", p.name, p.front)
	return nil
}

// waitReady waits until all nodes are ready.
func (c *cluster) waitReady() error {
	client := &http.Client{Timeout: time.Second}
	for _, p := range c.nodes {
		for end := time.Now().Add(readyWait); ; time.Sleep(50 * time.Millisecond) {
			response, err := client.Get("http://" + p.ready + "/readiness")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v; the end of its log: %s", p.name, readyWait, logEnd(p.config+".log"))
			}
		}
	}
	c.record.line("all nodes are ready")
	return nil
}

// resolve asks a node for the addresses to connect to, as callers do, and records them.
func (c *cluster) resolve(p *process) {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s/resolution?name=%s&region=%s&zone=%s", p.directory, callerHost, regionOf(p.zone), p.zone))
	if err != nil {
		c.record.line("%s does not tell addresses: %v", p.name, err)
		return
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	c.record.line("%s, front %s, tells callers of its zone: status %d, %s, error %v", p.name, p.front, response.StatusCode, content, err)
}

// stop ends all nodes by their process IDs, and the stand-ins.
func (c *cluster) stop() {
	for _, p := range c.nodes {
		if p.command == nil || p.command.Process == nil {
			continue
		}
		// A process that has ended already needs no signal.
		_ = p.command.Process.Signal(syscall.SIGKILL)
		<-p.ended
	}
	for _, t := range c.targets {
		t.close()
	}
	if c.storeLink != nil {
		c.storeLink.Stop()
	}
	if c.store != nil {
		c.store.Close()
	}
	c.record.line("all processes have ended")
}

type jsonMap = map[string]any

// limits are those of the users' example.
func limits() jsonMap {
	return jsonMap{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
}

// configure writes the next version of the configuration, as the operator does.
func (c *cluster) configure(limits jsonMap, routes ...jsonMap) error {
	c.version += 3
	seen := map[string]bool{}
	services := []jsonMap{}
	for _, t := range c.targets {
		if !seen[t.service] {
			seen[t.service] = true
			services = append(services, jsonMap{
				"name": t.service, names.HealthPath: "/health", "maxConnections": t.connections, "protocol": "h1", "tls": false,
			})
		}
	}
	document, err := json.Marshal(jsonMap{"version": c.version, "routes": routes, "services": services, "limits": limits})
	if err != nil {
		return err
	}
	c.store.Put(names.ConfigKey, document)
	c.record.line("the store has confirmed version %d of the configuration: %s", c.version, document)
	return nil
}

// maxFailureLines bounds the lines of one log that go into the record.
const maxFailureLines = 6

// failureLines returns the first lines of a log that tell of a failed attempt or gather.
func failureLines(path string) []string {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil
	}
	var found []string
	for _, line := range strings.Split(string(content), "\n") {
		if strings.Contains(line, "attempt failed") || strings.Contains(line, "gather") && strings.Contains(line, "error=") {
			found = append(found, line)
		}
		if len(found) == maxFailureLines {
			break
		}
	}
	return found
}

// logEnd returns the last bytes of a log.
func logEnd(path string) string {
	content, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(content[max(0, len(content)-500):])
}
