r"""Plots of an experiment by second: success, latency, flows and load."""

from matplotlib.backends import backend_agg
from matplotlib import figure

from poplarstep.edge import clock
from standins import recorder as recorders


def draw(recorder, events, packets_by_target):
    r"""Return the matplotlib ``Figure`` of an experiment.

    ``packets_by_target`` gives the packets of each second; the events are
    drawn as vertical lines.
    """
    plot = figure.Figure(figsize=(10, 11), layout='constrained')
    backend_agg.FigureCanvasAgg(plot)
    panels = plot.subplots(4, 1, sharex=True)
    rows_by_service = {}
    for row in recorders.rows(recorder):
        rows_by_service.setdefault(row['service'], []).append(row)
    for service, rows in rows_by_service.items():
        seconds = [row['second'] for row in rows]
        panels[0].plot(seconds, [
            100 * row['success'] if row['success'] is not None
            else float('nan') for row in rows], label=service)
        for key, style in (('median_ms', '-'), ('p99_ms', '--')):
            panels[1].plot(
                seconds, [row[key] or float('nan') for row in rows], style,
                label='%s %s' % (service, key))
        for outcome, style in ((recorders.BROKEN, '-'), (
                recorders.GIVEN_UP, ':'), (recorders.REFUSED, '--')):
            panels[2].plot(
                seconds, [row['counts'].get(outcome, 0) for row in rows],
                style, label='%s %s' % (service, outcome))
    for target, counts in packets_by_target.items():
        panels[3].plot(range(len(counts)), counts, label=target)
    for panel, label in zip(panels, (
            'success in %', 'latency in ms', 'flows and requests per s',
            'packets per s at the agent')):
        panel.set_ylabel(label)
        panel.legend(fontsize='x-small', ncols=3)
        for event in events:
            panel.axvline(
                (event.started - recorder.started)
                / clock.MILLISECONDS_PER_SECOND,
                color='grey', linewidth=0.8)
    panels[1].set_yscale('log')
    panels[0].set_title('; '.join(event.text for event in events))
    panels[3].set_xlabel('s')
    return plot
