"""Creation and wiring of the components of one entry VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

import uuid6

from dogwoodmast.anti_entropy import AntiEntropyLoop
from dogwoodmast.clock import SystemClock
from dogwoodmast.crash_notifier import CrashNotifier
from dogwoodmast.document_exchange import DocumentExchange
from dogwoodmast.document_store import DocumentStore
from dogwoodmast.etcd import EtcdPlatform
from dogwoodmast.frames import PROTOCOL_VERSION, Hello
from dogwoodmast.gateway import Gateway
from dogwoodmast.http_server import HttpServer, make_http_server
from dogwoodmast.ledger_transport import LedgerTransport
from dogwoodmast.link_pool import LinkPool, serve_links
from dogwoodmast.load_meter import LoadMeter
from dogwoodmast.message_handlers import MessageHandlers
from dogwoodmast.metrics import Metrics
from dogwoodmast.operator_api import OperatorApi
from dogwoodmast.ownership import Member
from dogwoodmast.placement_planner import BalancingPlanner
from dogwoodmast.platform_reader import PlatformReader
from dogwoodmast.proxy_set import ProxySet
from dogwoodmast.quarantine import Quarantine
from dogwoodmast.router import Router
from dogwoodmast.status_builder import StatusBuilder
from dogwoodmast.view_builder import ViewBuilder
from dogwoodmast.view_publisher import ViewPublisher
from dogwoodmast.vm_list import HttpVmList
from dogwoodmast.zone_agent import ZoneAgent
from dogwoodmast.zone_member import ZoneMember
from dogwoodmast.zone_services import ZoneServices

if TYPE_CHECKING:
    from contextlib import AsyncExitStack

    from anyio.abc import TaskGroup

    from dogwoodmast.address import Address
    from dogwoodmast.settings import Settings


class EntryVmParts:
    """Components of one entry VM; an exit stack closes them."""

    def __init__(self, settings: Settings, stack: AsyncExitStack) -> None:
        """Create the components without starting them.

        :param settings: Settings of the process.
        :param stack: Exit stack on which clients and task groups are put.
        """
        self._settings = settings
        self._stack = stack
        self._clock = SystemClock()
        self._metrics = _make_metrics(settings)
        self._this_member = _make_member(settings)
        self._handlers = MessageHandlers()
        self._member = ZoneMember()
        self._quarantine = Quarantine()
        vm = settings.vm
        self._links = LinkPool(
            Hello(
                vm.name,
                vm.zone,
                self._this_member.incarnation,
                PROTOCOL_VERSION,
            ),
            self._handlers,
        )
        ledger_transport = LedgerTransport(vm.name, self._links)
        self._proxies = ProxySet(
            vm.name,
            vm.zone,
            self._clock,
            self._member,
            ledger_transport,
            LoadMeter(self._clock.monotonic()),
            self._quarantine,
        )
        ledger_transport.attach(self._proxies, self._handlers)
        self._services = self._make_services()
        self._agent = ZoneAgent(self._services, self._handlers)
        self._operator_api = OperatorApi(
            StatusBuilder(self._services, self._proxies).document
        )
        self._server = self._make_server()

    @property
    def agent(self) -> ZoneAgent:
        """Agent by which the VM takes part in its zone."""
        return self._agent

    @property
    def operator_api(self) -> OperatorApi:
        """HTTP interface for operators and the load balancer."""
        return self._operator_api

    @property
    def server(self) -> HttpServer:
        """HTTP server for callers and operators."""
        return self._server

    async def start(self, background: TaskGroup) -> None:
        """Start all components but the HTTP server.

        :param background: Task group that their tasks run in.
        """
        await self._stack.enter_async_context(self._links)
        await background.start(
            serve_links, self._settings.listen.links, self._handlers
        )
        await self._stack.enter_async_context(self._proxies)
        publisher = ViewPublisher(self._services.builder, self._proxies)
        publisher.subscribe(self._services.exchange)
        anti_entropy = AntiEntropyLoop(self._services, self._agent)
        background.start_soon(publisher.run)
        background.start_soon(self._agent.run)
        background.start_soon(anti_entropy.run)
        background.start_soon(self._make_crash_notifier().run)

    async def wait_for_view(self) -> None:
        """Wait until the first routing view is known."""
        await self._proxies.wait_for_first_view()

    def _make_crash_notifier(self) -> CrashNotifier:
        notifier = CrashNotifier(
            self._clock,
            self._links,
            self._peer_addresses,
            self._quarantine,
        )
        notifier.register(self._handlers)
        return notifier

    def _peer_addresses(self) -> set[Address]:
        view = self._proxies.view
        records = () if view is None else view.zones.values()
        return {
            member.address
            for record in records
            for member in record.members
            if member.vm != self._settings.vm.name
        }

    def _make_services(self) -> ZoneServices:
        document_store = DocumentStore()
        exchange = DocumentExchange(document_store, self._links)
        exchange.register(self._handlers)
        platform = EtcdPlatform(self._settings.platform.endpoint)
        self._stack.push_async_callback(platform.aclose)
        vm_list = HttpVmList(self._settings.vm_list.endpoint)
        self._stack.push_async_callback(vm_list.aclose)
        return ZoneServices(
            me=self._this_member,
            zone=self._settings.vm.zone,
            clock=self._clock,
            exchange=exchange,
            builder=ViewBuilder(document_store),
            links=self._links,
            platform=platform,
            reader=PlatformReader(platform, exchange),
            vm_list=vm_list,
            member=self._member,
            workload=self._proxies,
            planner=BalancingPlanner(),
        )

    def _make_server(self) -> HttpServer:
        router = Router(
            self._settings.vm.name,
            self._clock,
            self._links,
            self._proxies,
            self._metrics,
        )
        router.register(self._handlers)
        gateway = Gateway(
            router, self._operator_api, self._clock, self._metrics
        )
        return make_http_server(gateway, self._settings.listen.http)


def _make_member(settings: Settings) -> Member:
    """Describe this process as a member of its zone.

    Its incarnation is a UUID of version 7, which begins with the time, so
    that of two incarnations of a VM the later one compares as greater.
    """
    listen = settings.listen
    address = listen.advertised_links or listen.links
    return Member(settings.vm.name, str(uuid6.uuid7()), address)


def _make_metrics(settings: Settings) -> Metrics:
    statsd = settings.statsd
    if statsd is None:
        return Metrics(None, '')
    return Metrics(statsd.address, f'{statsd.prefix}.{settings.vm.name}')
