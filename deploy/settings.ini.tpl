; Settings of one daemon on the users' platform; docs/INTERFACES.md lists all keys.

[front]
host = {{nodeName}}
domain = {{zone}}
cpu_share = {{limits.cpuShare}}
link_mbps = {{limits.linkMbps}}
caller_listen = {{listen.front}}
ready_listen = {{listen.ready}}
peer_listen = {{listen.control}}
metrics_listen = {{ip}}:{{portRange.0}}

[store]
address = {{platform.address}}

[limits]
grace = {{bounds.graceS}}s
drain = {{bounds.drainMs}}ms
apply = {{bounds.applyMs}}ms
{{#bounds.evacMs}}evacuation = {{bounds.evacMs}}ms{{/bounds.evacMs}}
order_turn = {{bounds.leaseMs}}ms
fences_checked = {{bounds.requireFence|json}}
retry_ratio = {{bounds.budgetRatio}}
retry_extra = {{bounds.budgetExtra}}
retry_window = {{bounds.budgetWindowS}}s
load_window = {{bounds.ceilingWindowS}}s

[log]
level = info
