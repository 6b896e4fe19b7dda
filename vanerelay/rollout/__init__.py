"""Rolling changes of settings or of the program, in stages with canary analysis and rollback.

`controller` carries out a change: `plan_reader` reads its plan, `change_log` stores its events,
`stage_machine` decides on the next step, and `canary_analysis` compares changed with unchanged gateways.
`agent` receives orders in a gateway. `supervisor` runs a gateway's processes and starts the next release
beside the running one. The reasons for the design are in docs/design/rollout.md.
"""
