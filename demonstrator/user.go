package demonstrator

import (
	"time"

	"hibiscusline/emulator"
	"hibiscusline/generator"
	"hibiscusline/launcher"
	"hibiscusline/settings"
	"hibiscusline/validator"
)

// user describes one of the two users of the router: its configuration, services and load.
type user struct {
	name          string
	configuration []byte
	zones         []string
	// reads and orders are the names of keyed services, downloads that of an unkeyed one.
	reads, orders, downloads          string
	readsPath, ordersPath             string
	connections                       int
	keyPrefix, hotPrefix              string
	readServers, orderServers         int
	downloadServers                   int
	readRate, hotRate                 float64
	orderRate, downloadRate           float64
	readRank, orderRank, downloadRank string
}

var users = []user{
	{
		name: "vatilaane", configuration: settings.Vatilaane, zones: []string{"zone-a", "zone-b", "zone-c", "zone-d"},
		reads: "stock-lookup", readsPath: "/bolts", orders: "order-desk", ordersPath: "/reservations", downloads: "pattern-archive",
		connections: 130, keyPrefix: "bolt-", hotPrefix: "batting-wool-queen-",
		readServers: 3, orderServers: 3, downloadServers: 2,
		readRate: 200, hotRate: 150, orderRate: 40, downloadRate: 20,
		readRank: "stock", orderRank: "order", downloadRank: "pattern",
	},
	{
		name: "karri-ridge", configuration: settings.KarriRidge, zones: []string{"zone-a", "zone-b", "zone-c"},
		reads: "catalogue", readsPath: "/lines", orders: "order-book", ordersPath: "/orders", downloads: "pattern-library",
		connections: 110, keyPrefix: "mallet-", hotPrefix: "carver-16oz-",
		readServers: 3, orderServers: 3, downloadServers: 2,
		readRate: 150, hotRate: 120, orderRate: 30, downloadRate: 20,
		readRank: "stock", orderRank: "order", downloadRank: "pattern",
	},
}

// hotKey returns the key that becomes hot. It is the only key of its stream; streams number their keys from 0.
func (u user) hotKey() string { return u.hotPrefix + "0" }

const (
	slots       = 12
	serviceTime = 4 * time.Millisecond
	timeout     = 2 * time.Second
	retries     = 3
	retryDelay  = 100 * time.Millisecond
)

func (u user) services() []launcher.Service {
	service := func(name string, servers int) launcher.Service {
		return launcher.Service{
			Name: name, Servers: servers, Slots: slots, Connections: u.connections,
			Settings: emulator.ServerSettings{
				ServiceTime: validator.Duration(serviceTime), Distribution: emulator.Lognormal,
				ConnectCost: validator.Duration(time.Millisecond),
			},
		}
	}
	return []launcher.Service{
		service(u.reads, u.readServers), service(u.orders, u.orderServers), service(u.downloads, u.downloadServers),
	}
}

// streams returns the streams of the load. Requests for the hot key start at hotFrom, since the start of the load.
func (u user) streams(c validator.Configuration, hotFrom time.Duration) []generator.Stream {
	target := func(rank string) validator.Duration { return c.Ranks[rank].LatencyTarget }
	limit := validator.Duration(timeout)
	return []generator.Stream{
		{
			Name: "reads", Rank: u.readRank, Rate: u.readRate, Service: u.reads, Path: u.readsPath, KeyCount: 2000,
			KeyPrefix: u.keyPrefix, ZipfExponent: 0.9, Timeout: limit, LatencyTarget: target(u.readRank),
		},
		{
			Name: "hot key", Rank: u.readRank, Rate: u.hotRate, Service: u.reads, Path: u.readsPath, KeyCount: 1,
			KeyPrefix: u.hotPrefix, Timeout: limit, LatencyTarget: target(u.readRank), Start: validator.Duration(hotFrom),
		},
		{
			Name: "orders", Rank: u.orderRank, Rate: u.orderRate, Service: u.orders, Method: "POST", Path: u.ordersPath,
			KeyCount: 2000, KeyPrefix: u.keyPrefix, ZipfExponent: 0.9, NonRepeatable: true, Timeout: limit, LatencyTarget: target(u.orderRank),
		},
		{
			Name: "downloads", Rank: u.downloadRank, Rate: u.downloadRate, Service: u.downloads, Path: "/size/100000",
			Timeout: limit, LatencyTarget: target(u.downloadRank),
		},
	}
}
