package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	templateFile = "platform/settings.json.tmpl"
	program      = "target/hornbeammast"
)

// entryHost is a running entry host of the project.
type entryHost struct {
	name, callers, health string
	command               *exec.Cmd
	exited                chan struct{}
}

// nodeFields are the fields of the platform's node file that the template uses.
func nodeFields(name, zone, ip string, zones []string, s *site) (map[string]any, error) {
	ports, err := freePorts(ip, 3)
	if err != nil {
		return nil, err
	}
	at := func(n int) string { return net.JoinHostPort(ip, strconv.Itoa(ports[n])) }
	fields := map[string]any{
		"node-name": name, "zone": zone, "ip": ip,
		"listen":              map[string]any{"front": at(0), "ready": at(1)},
		"internal-port-range": []any{float64(ports[2])},
		"advice":              s.adviceAddress,
		"heartbeat-ms":        1500.0,
		"platform":            map[string]any{"address": s.logAddress, "parts": float64(partitions), "ttl-min-ms": 1000.0},
		"cloud-api":           map[string]any{"address": s.machinesAddress, "rate-per-s": 64.0, "duty-per-s": 64.0},
		"bounds": map[string]any{
			"hold-max-ms": 10000.0, "move-s": 1.5, "upkeep-s": 2.0, "lease-ms": 3000.0, "notice-ms": 4500.0, "stop-ms": 200.0,
			"contact-ms": 3000.0, "save-s": 0.5, "status_s": 120.0, "far-x": 2.0, "grace-s": 6.0,
		},
		"fault-tolerance": map[string]any{"machines": 2.0, "zones": float64(min(1, len(zones)-1))},
		"limits":          map[string]any{"cpu-share": 0.4, "cores": 1.0, "memory-mb": 284.0, "max-fds": 4100.0, "link-mbps": 1000.0},
	}
	return fields, nil
}

// freePorts returns different free ports.
func freePorts(ip string, count int) ([]int, error) {
	var ports []int
	for range count {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		// Each is kept until all are known.
		defer func() { _ = listener.Close() }()
		address, ok := listener.Addr().(*net.TCPAddr)
		if !ok {
			return nil, errNoPort
		}
		ports = append(ports, address.Port)
	}
	return ports, nil
}

var (
	sections     = regexp.MustCompile(`(?s)\{\{#([^}]+)\}\}(.*?)\{\{/[^}]+\}\}`)
	placeholders = regexp.MustCompile(`\{\{([^}|]+)(\|json)?\}\}`)
)

// render fills in the settings template as the platform does; its sections hold single values.
func render(template string, fields map[string]any) string {
	text := sections.ReplaceAllStringFunc(template, func(section string) string {
		parts := sections.FindStringSubmatch(section)
		if lookUp(fields, parts[1]) == nil {
			return ""
		}
		return parts[2]
	})
	return placeholders.ReplaceAllStringFunc(text, func(placeholder string) string {
		parts := placeholders.FindStringSubmatch(placeholder)
		value := lookUp(fields, parts[1])
		if text, ok := value.(string); ok && parts[2] == "" {
			return text
		}
		data, _ := json.Marshal(value)
		return string(data)
	})
}

func lookUp(fields map[string]any, path string) any {
	var value any = fields
	for _, key := range strings.Split(path, ".") {
		switch in := value.(type) {
		case map[string]any:
			value = in[key]
		case []any:
			n, err := strconv.Atoi(key)
			if err != nil || n >= len(in) {
				return nil
			}
			value = in[n]
		}
	}
	return value
}

// startEntryHost starts an entry host with settings in a temporary folder.
func startEntryHost(s *site, name, zone, ip string) (*entryHost, error) {
	fields, err := nodeFields(name, zone, ip, s.zones, s)
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile(filepath.Join(s.root, templateFile))
	if err != nil {
		return nil, err
	}
	settings := filepath.Join(s.temp, name+".yaml")
	if err := os.WriteFile(settings, []byte(render(string(template), fields)), 0o600); err != nil {
		return nil, err
	}
	out, err := os.Create(filepath.Join(s.temp, name+".log")) //nolint:gosec // A file in our own folder.
	if err != nil {
		return nil, err
	}
	listen, _ := fields["listen"].(map[string]any)
	h := &entryHost{name: name, callers: fmt.Sprint(listen["front"]), health: fmt.Sprint(listen["ready"]), exited: make(chan struct{})}
	h.command = exec.Command(filepath.Join(s.root, program), "serve", "--settings", settings) //nolint:gosec // As the deploy file says.
	h.command.Dir = s.root
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HORNBEAMMAST_NODE_FILE=" + settings}
	h.command.Stdout, h.command.Stderr = out, out
	h.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.command.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = h.command.Wait()
		_ = out.Close()
		close(h.exited)
	}()
	return h, nil
}

// kill ends the process.
func (h *entryHost) kill() {
	_ = h.command.Process.Kill()
	select {
	case <-h.exited:
	case <-time.After(5 * time.Second):
	}
}

// running reports whether the process has not ended by itself.
func (h *entryHost) running() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}
