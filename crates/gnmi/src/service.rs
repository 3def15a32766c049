//! The gNMI service. Calls are passed to management, whose errors become statuses with a message that names the path.

use crate::arbitration::ArbitrationTable;
use crate::context::ServiceContext;
use crate::proto::gnmi::g_nmi_server::GNmi;
use crate::proto::gnmi::{self, Encoding};
use crate::roles::Identity;
use crate::{get, set, subscribe};
use ironstair_management::ManagementHandle;
use std::sync::{Arc, Mutex};
use tonic::{Request, Response, Status, Streaming};

/// The version of gNMI that is served.
const GNMI_VERSION: &str = "0.10.0";

/// The organization in the YANG module.
const ORGANIZATION: &str = "ironstair";

const SUPPORTED_ENCODINGS: [Encoding; 3] = [Encoding::JsonIetf, Encoding::Json, Encoding::Proto];

/// The gNMI service of one gateway.
#[derive(Clone)]
pub struct Service {
    context: ServiceContext,
    arbitration: Arc<Mutex<ArbitrationTable>>,
}

impl Service {
    /// A service of the gateway with that name, for at most `max_streams` concurrent Subscribe calls.
    pub fn new(management: ManagementHandle, gateway: &str, max_streams: usize) -> Service {
        Service {
            context: ServiceContext::new(management, gateway, max_streams),
            arbitration: Arc::default(),
        }
    }
}

#[tonic::async_trait]
impl GNmi for Service {
    type SubscribeStream = subscribe::SubscriptionStream;

    async fn capabilities(
        &self,
        _: Request<gnmi::CapabilityRequest>,
    ) -> Result<Response<gnmi::CapabilityResponse>, Status> {
        let schema = self.context.management.schema();
        Ok(Response::new(gnmi::CapabilityResponse {
            supported_models: vec![gnmi::ModelData {
                name: ironstair_data_tree::schema::MODULE_NAME.into(),
                organization: ORGANIZATION.into(),
                version: schema.revision.clone(),
            }],
            supported_encodings: SUPPORTED_ENCODINGS.map(|encoding| encoding as i32).to_vec(),
            g_nmi_version: GNMI_VERSION.into(),
            extension: Vec::new(),
        }))
    }

    async fn get(
        &self,
        request: Request<gnmi::GetRequest>,
    ) -> Result<Response<gnmi::GetResponse>, Status> {
        let response = get::get(&self.context, request.into_inner()).await?;
        Ok(Response::new(response))
    }

    async fn set(
        &self,
        request: Request<gnmi::SetRequest>,
    ) -> Result<Response<gnmi::SetResponse>, Status> {
        let identity = request.extensions().get::<Identity>().cloned();
        let identity =
            identity.ok_or_else(|| Status::unauthenticated("the client is not identified"))?;
        if !identity.may_change {
            let name = identity.name;
            return Err(Status::permission_denied(format!(
                "client {name} may read settings but not change them"
            )));
        }
        let request = request.into_inner();
        let response = set::set(&self.context, &self.arbitration, identity, request).await?;
        Ok(Response::new(response))
    }

    async fn subscribe(
        &self,
        request: Request<Streaming<gnmi::SubscribeRequest>>,
    ) -> Result<Response<Self::SubscribeStream>, Status> {
        let stream = subscribe::serve(self.context.clone(), request.into_inner());
        Ok(Response::new(stream))
    }
}
