# Derives the settings of all processes of a run from a deployment
# (deploy/*.json). $net is the second octet of the run's loopback addresses
# 127.N.x.y, $dir the folder for the run's output, $seed the seed of all random
# generators.
def ip($third; $fourth): "127.\($net).\($third).\($fourth)";
def service_address($i): "\(ip(0; 10 + $i)):5683";

. as $deploy
| ($deploy.domains | length) as $n
| "\(ip(0; 1)):8080" as $platform
| "\(ip(0; 2)):5690" as $return
| [$deploy.domains | to_entries[] | .key as $d | .value as $domain
   | range(1; $domain.vms + 1)
   | {name: "\($domain.name)-\(.)", region: $deploy.region, domain: $domain.name,
      address: ip($d + 1; .)}] as $vms
| [$deploy.services | to_entries[] | .key as $s | .value as $service
   | range(0; $service.upstreams)
   | {service: $service.name, name: "\($service.name)-\(. + 1)",
      d: (. % $n), order: ($s * 100 + .)}] as $flat
| [range(0; $n) as $d | $flat | map(select(.d == $d)) | to_entries[]
   | .value + {domain: $deploy.domains[$d].name,
               address: "\(ip($d + 1; 101 + .key)):5683",
               report_address: "\(ip($d + 1; 101 + .key)):8080"}] | sort_by(.order)
| . as $upstreams
| def upstreams_of($name): $upstreams | map(select(.service == $name));
{
  platform: {listen: $platform, admin: "\(ip(0; 1)):8081"},
  base: {number: 1, digest: "0000000000000001", position: 0, config: {services:
    [$deploy.services | to_entries[] | .key as $s | .value as $service
     | {name: $service.name, address: service_address($s),
        timeout_ms: $service.timeout_ms, flow_idle_ms: $service.flow_idle_ms,
        upstreams: [upstreams_of($service.name)[]
          | {name, domain, address, report_address, slots: $service.slots,
             max_connections: $service.max_connections, draining: false}]}]}},
  vms: [$vms[] | . + {state: "live"}],
  vm_settings: [$vms[] | {vm: ., ports: $deploy.ports,
    platform: {address: $platform}, fabric: {return_address: $return},
    limits: $deploy.limits, trace: {file: "", sample_per_million: 0}}],
  fabric: {services: [$deploy.services | keys[] | service_address(.)],
    return_address: $return, admin: "\(ip(0; 2)):8081", seed: $seed,
    faults: $deploy.fabric,
    balancers: [$vms[] | {name, domain, address: "\(.address):\($deploy.ports.fabric)"}]},
  upstreams: [$deploy.domains | to_entries[] | .key as $d | .value.name as $domain
    | {domain: $domain, admin: "\(ip($d + 1; 100)):8081", seed: ($seed + 100 * $d),
       journal: "\($dir)/journal-\($domain).jsonl",
       upstreams: [$upstreams[] | select(.domain == $domain) as $u | $u
         | ($deploy.services[] | select(.name == $u.service)) as $service
         | {name, service, address, report_address, slots: $service.slots,
            max_connections: $service.max_connections, queue: $service.queue,
            times: $service.times}]}],
  load: ($deploy.load + {seed: $seed, report: "\($dir)/report.json",
    local_ips: [range(1; 9) | ip(200; .)],
    services: [$deploy.services | to_entries[] | .key as $s
      | {name: .value.name, address: service_address($s)} + .value.load]})
}
