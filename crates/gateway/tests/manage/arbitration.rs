//! Master arbitration between clients that change the settings.
//!
//! The test guards against a former master that still changes settings after a client with a higher election id has
//! taken over. The ids are chosen so that a comparison of their low halves alone would accept the former master.

use crate::managed::{
    connect_without_tls, current_thread_runtime, get_json, json_update, send_set_request,
    set_request, start_managed_gateway, GnmiClient,
};
use ironstair_gnmi::proto::gnmi_ext::{self, extension::Ext, Extension};
use serde_json::json;
use tonic::{Code, Status};

const ADVICE_PATH: &str = "/settings/advice";

/// Sets the advice as the master whose election id has the given high and low halves.
async fn set_advice_as_master(
    client: &mut GnmiClient,
    (high, low): (u64, u64),
    advice_ms: u32,
) -> Result<(), Status> {
    let arbitration = gnmi_ext::MasterArbitration {
        role: None,
        election_id: Some(gnmi_ext::Uint128 { high, low }),
    };
    let extension = vec![Extension {
        ext: Some(Ext::MasterArbitration(arbitration)),
    }];
    let update = vec![json_update(ADVICE_PATH, json!(advice_ms))];
    send_set_request(client, set_request(update, extension)).await
}

#[test]
fn master_with_the_older_election_id_is_refused() {
    let (_gateway, gnmi_address) = start_managed_gateway("case-6", &[]);
    current_thread_runtime().block_on(async {
        let mut client = connect_without_tls(gnmi_address).await;
        set_advice_as_master(&mut client, (0, 5), 1).await.unwrap();
        set_advice_as_master(&mut client, (1, 0), 2).await.unwrap();

        let older = set_advice_as_master(&mut client, (0, 9), 3)
            .await
            .unwrap_err();

        assert_eq!(older.code(), Code::PermissionDenied);
        assert!(older.message().contains("lower than"), "{older:?}");
        set_advice_as_master(&mut client, (1, 0), 4).await.unwrap();
        assert_eq!(get_json(&mut client, ADVICE_PATH).await.unwrap(), json!(4));
    });
}
