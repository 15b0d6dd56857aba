"""Wires the entry side, which routes the requests of callers.

Its parts choose targets, run attempts, hedges and retries, and refuse requests.
"""

from collections.abc import Callable
from collections.abc import Sequence
import random

from radishwind.claims.claim_guard import NoClaims
from radishwind.config.model import ServiceRules
from radishwind.core.clock import Clock
from radishwind.core.freshness import Freshness
from radishwind.entry.fan_out import FanOutDetector
from radishwind.entry.key_authenticator import KeyAuthenticator
from radishwind.entry.load_shedder import NoLoadShedding
from radishwind.entry.load_shedder import ShedLateCalls
from radishwind.entry.nested_routes import NestedRouteDetector
from radishwind.entry.observer import CallObserver
from radishwind.entry.pipeline import EntryPipeline
from radishwind.entry.retry_after import RetryAfter
from radishwind.entry.retry_age import RetryAgeEstimator
from radishwind.entry.routed_classifier import CallerFields
from radishwind.entry.routed_classifier import RoutedClassifier
from radishwind.hedging.forecast import ForecastHedgePolicy
from radishwind.hedging.policy import HedgePolicy
from radishwind.hedging.policy import NoHedging
from radishwind.http.sender import Sender
from radishwind.http.types import Headers
from radishwind.membership.directory import Directory
from radishwind.membership.directory import Member
from radishwind.peers.forward_runner import ForwardRunner
from radishwind.peers.signing import RequestSigner
from radishwind.platform import add_account_field
from radishwind.platform import decode_caller_fields
from radishwind.platform.responses import caller_response
from radishwind.quarantine.isolating_runner import IsolatingRunner
from radishwind.quotas import QuotaGate
from radishwind.retries.fleet import FleetRetryBudget
from radishwind.retries.fleet import FleetRetryPolicy
from radishwind.routes.active_routes import ActiveRoutes
from radishwind.routes.evacuation import EvacuationState
from radishwind.routing.fresh_load_chooser import FreshLoadChooser
from radishwind.routing.placement import RestrictedPlacement
from radishwind.settings.placed_settings import PlacedSettings
from radishwind.sidecar.link_side import LinkSide
from radishwind.sidecar.options import cost_weights_for
from radishwind.sidecar.options import MAX_RETRY_AFTER_S
from radishwind.sidecar.options import RETRY_AFTER_S
from radishwind.sidecar.options import RETRY_AFTER_SPREAD
from radishwind.sidecar.switches import Switches
from radishwind.sidecar.target_side import SidecarTarget
from radishwind.sidecar.unreported_notices import UnreportedNotices
from radishwind.telemetry.part_logger import PartLogger


class EntrySide:
    """The parts that answer callers.

    Attributes:
      chooser: chooses targets by their load reports.
      classifier: determines the route of a request.
      keys: authenticates the client account of a request.
      pipeline: handles requests.
    """

    def __init__(
        self,
        *,
        settings: PlacedSettings,
        clock: Clock,
        rng: random.Random,
        sender: Sender,
        directory: Directory,
        routes: ActiveRoutes,
        evacuation: EvacuationState,
        target: SidecarTarget,
        switches: Switches,
        node_count: Callable[[], int],
        service: Callable[[], str],
        on_unreachable: Callable[[str], None] | None = None,
        reports_unsolicited: Callable[[Member], bool] | None = None,
        observers: Sequence[CallObserver] = (),
        signer: RequestSigner | None = None,
        key_freshness: Freshness | None = None,
        route_freshness: Freshness | None = None,
        quotas: QuotaGate | None = None,
        links: LinkSide | None = None,
    ) -> None:
        """Wires the entry side.

        Args:
          settings: settings of the node.
          clock: the clock.
          rng: randomizes choices and retry times.
          sender: sends requests to other nodes.
          directory: the known nodes.
          routes: the routes in force.
          evacuation: the evacuated failure domains.
          target: the own target.
          switches: the mechanisms in use.
          node_count: returns how many nodes share the retry budget.
          service: returns the service of the local backend server, which is the
            caller of its own requests.
          on_unreachable: called with the name of a target whose node accepts no
            connection.
          reports_unsolicited: returns whether a target sends its load reports
            to this node even if it gets no attempts from here.
          observers: notified of each finished request.
          signer: signs requests to other nodes.
          key_freshness: whether the keys known here are fresh enough to accept.
          route_freshness: whether the routes known here are recent enough to
            deny others.
          quotas: enforces the quotas of client accounts.
          links: path costs and link statistics; by default the path costs are
            fixed.
        """
        self._service = service
        self._log = PartLogger("entry", clock)
        self.keys = KeyAuthenticator(lambda: routes.accounts, key_freshness)
        weights = cost_weights_for(switches)
        self.chooser = FreshLoadChooser(
            rng,
            node_name=settings.node,
            failure_domain=settings.failure_domain,
            own_load=target.pipeline.load_report,
            reports_unsolicited=reports_unsolicited,
            weights=weights,
            path_costs=(
                links.path_costs(weights.cross_domain_s)
                if links is not None and switches.ways
                else None
            ),
            node_count=node_count,
        )
        self.classifier = RoutedClassifier(
            clock=clock,
            routes=routes,
            rules=ServiceRules(),
            decode_fields=self._decode_caller_fields,
            normal_run_s=self.chooser.normal_run_s,
            keys=self.keys,
            freshness=route_freshness,
            with_account=add_account_field,
            retry_ages=RetryAgeEstimator() if switches.returns else None,
            fan_outs=FanOutDetector(rng) if switches.siblings else None,
            nested_routes=(
                NestedRouteDetector(
                    target.local_concurrency, self._on_nested_route
                )
                if switches.nested
                else None
            ),
        )
        self._unreported = UnreportedNotices(self.chooser.statistics, clock)
        budget = FleetRetryBudget(
            settings.retry_share,
            settings.retry_slack,
            settings.retry_window_s,
            node_count,
        )
        forward = ForwardRunner(
            node_name=settings.node,
            clock=clock,
            target=target.pipeline,
            sender=sender,
            signer=signer,
            on_unreachable=on_unreachable,
            traffic=links.traffic if links else None,
            sizes=links.sizes if links else None,
            on_response=self._unreported.check,
        )
        hedges: HedgePolicy = ForecastHedgePolicy(budget, self.chooser)
        self.pipeline = EntryPipeline(
            clock=clock,
            classifier=self.classifier,
            placement=RestrictedPlacement(
                directory, lambda: evacuation.names, settings.region_of
            ),
            chooser=self.chooser,
            retries=FleetRetryPolicy(
                budget, lambda: target.local_concurrency.retry_fraction
            ),
            hedges=hedges if switches.hedges else NoHedging(),
            runner=IsolatingRunner(forward) if switches.quarantine else forward,
            claims=NoClaims(),
            quarantine=target.quarantine,
            observers=observers,
            retry_after=RetryAfter(
                RETRY_AFTER_S,
                MAX_RETRY_AFTER_S,
                RETRY_AFTER_SPREAD if switches.spread else 0.0,
                rng,
            ),
            respond=caller_response,
            shedder=(
                ShedLateCalls(self.chooser)
                if switches.foresight
                else NoLoadShedding()
            ),
            quotas=quotas,
        )

    def _on_nested_route(self, route: str, is_nested: bool) -> None:
        self._log.change(
            "Requests of a route are calls of the local backend server."
            if is_nested
            else "Requests of a route no longer count as such calls.",
            route=route,
        )

    def _decode_caller_fields(self, headers: Headers) -> CallerFields:
        return decode_caller_fields(
            headers, self._service(), accounts=self.keys.has_accounts
        )
