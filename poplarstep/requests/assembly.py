r"""Builds the pipeline of stages of an agent."""

from poplarstep.configuration import catalogue as catalogues
from poplarstep.core import stage
from poplarstep.dissemination import subscriber
from poplarstep.requests import admission
from poplarstep.requests import announcing
from poplarstep.requests import expiry
from poplarstep.requests import ownership
from poplarstep.requests import state as states
from poplarstep.requests import verification

# Modules whose ``TICK`` events the program must send to the pipeline.
TICKING = (subscriber, announcing, expiry, admission)


def make_pipeline(settings, incarnation):
    r"""Return the pipeline of an agent and the states of its stages.

    Parameters
    ==========

    settings : mapping
        Typed settings by name.
    incarnation : int
        Identifies this run of the agent; later runs have larger numbers.

    Returns
    =======

    tuple
        ``(Pipeline, AgentState, AdmissionState)``.
    """
    catalogue = catalogues.Catalogue()
    subscriber_state = subscriber.make_subscriber(
        settings['node'], 'agent', incarnation, catalogue,
        settings['upstreams'])
    agent = states.make_agent_state(
        settings['node'], settings['data-centre'],
        settings['agent-address'], incarnation, catalogue,
        settings['flow-idle'], settings['answer-bytes'])
    admission_state = admission.make_admission_state(
        agent, settings['queue-length'])
    pipeline = stage.Pipeline([
        (announcing.ANNOUNCE, agent),
        (subscriber.SUBSCRIBER, subscriber_state),
        (verification.VERIFY, agent),
        (ownership.REQUESTS, agent),
        (admission.ADMISSION, admission_state),
    ])
    return pipeline, agent, admission_state
