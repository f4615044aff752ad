"""Planned work on the machines of a run."""

import asyncio
import signal

GRACE_S = 6
RESTART_DELAY_S = 0.1


async def restart(day, machine, role):
    """Stop a process with SIGTERM, and SIGKILL after the grace; start it."""
    process = machine.process_by_role[role]
    day.journal({'event': 'SIGTERM', 'node': machine.name, 'role': role})
    process.send_signal(signal.SIGTERM)
    deadline = day.loop.time() + GRACE_S
    while process.poll() is None and day.loop.time() < deadline:
        await asyncio.sleep(0.05)
    killed = process.poll() is None
    if killed:
        process.kill()
    process.wait()
    await asyncio.sleep(RESTART_DELAY_S)
    machine.start(role)
    day.journal({'event': 'restarted', 'node': machine.name, 'role': role,
                 'code': process.returncode, 'killed': killed})


async def roll(day, machines, role, gap_s):
    """Restart one process after the other (``roll_term``)."""
    for machine in machines:
        await restart(day, machine, role)
        await asyncio.sleep(gap_s)
